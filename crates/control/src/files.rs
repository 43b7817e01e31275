//! Small files that hold one record with a checksum and are replaced as a whole.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;

use error_stack::Report;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::record;
use crate::storage::{io_error, Result, StorageError};

/// Reads a file of one record; returns `None` if the file does not exist.
///
/// Returns an error if the file can't be read or is damaged.
pub fn load_record<T: DeserializeOwned>(path: &Path) -> Result<Option<T>> {
    let bytes = match fs::read(path) {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(io_error(path)(e)),
    };
    // The file was synced before it got its name, so a torn record means damage too.
    let complete = record::scan(&bytes).ok().filter(|s| s.end == bytes.len());
    let body = complete.and_then(|s| s.bodies.first().copied());
    let value = body.and_then(|b| rmp_serde::from_slice(b).ok());
    value.map(Some).ok_or_else(|| damage_error(path, 0))
}

/// Replaces a file with one that holds this value as its only record, and syncs it.
///
/// Returns an error if the file can't be written. The old file is then still there.
pub fn replace_record<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<()> {
    let mut bytes = Vec::new();
    record::append_record(&mut bytes, &encode(value));
    replace_file(folder, name, &bytes)
}

/// Replaces a file atomically.
///
/// The new file is synced before it takes the name, and the folder is synced after. Otherwise a
/// crash could leave half a file, or a name that points to nothing.
pub(crate) fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let mut file = File::create(&temporary).map_err(io_error(&temporary))?;
    file.write_all(bytes).map_err(io_error(&temporary))?;
    file.sync_all().map_err(io_error(&temporary))?;
    fs::rename(&temporary, folder.join(name)).map_err(io_error(&temporary))?;
    sync_folder(folder)
}

/// Syncs a folder, so that the names in it are durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<()> {
    let file = File::open(folder).map_err(io_error(folder))?;
    file.sync_all().map_err(io_error(folder))
}

/// Encodes a value as MessagePack with named fields.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(value).expect("MessagePack can encode every type of the log")
}

/// Returns the error for a file that is damaged at a byte offset.
pub(crate) fn damage_error(path: &Path, offset: usize) -> Report<StorageError> {
    Report::new(StorageError::Damaged {
        file: path.into(),
        offset,
    })
}

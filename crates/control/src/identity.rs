//! The identity of a data folder, so that a wiped, copied or moved folder never votes as another.

use std::fs::File;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use error_stack::Report;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::files::{load_record, replace_record};
use crate::storage::{io_error, Result, StorageError};
use crate::voters::{ClusterId, VoterId, Voters};

/// The version of the folder format that this release writes.
pub const FOLDER_FORMAT: u32 = 1;

/// The name of the identity file in the folder.
const IDENTITY_FILE: &str = "identity";

data! {
    /// The identity of a data folder.
    pub struct Identity {
        /// The version of the folder format.
        pub format: u32,
        /// The voter's id, drawn when the folder was created.
        pub voter: VoterId,
        /// The host that the folder belongs to.
        pub host: HostId,
        /// The inode of the folder's lock file; a copy of the folder has another one.
        pub inode: u64,
        /// How many times a process has started on the folder.
        pub starts: u64,
        /// The cluster that the voter belongs to, once that is formed.
        pub cluster: Option<ClusterId>,
        /// The voters that the cluster was formed with, or none if this voter joined as a learner.
        #[serde(rename = "formed")]
        pub first_voters: Voters,
    }
}

impl Identity {
    /// Creates the identity of a new folder.
    pub fn new(voter: VoterId, host: HostId, inode: u64) -> Self {
        Self {
            format: FOLDER_FORMAT,
            voter,
            host,
            inode,
            starts: 0,
            cluster: None,
            first_voters: Voters::default(),
        }
    }

    /// Reads a folder's identity; returns `None` if it has none.
    pub(crate) fn load(folder: &Path) -> Result<Option<Self>> {
        load_record(&folder.join(IDENTITY_FILE))
    }

    /// Stores the identity in its folder.
    pub(crate) fn save(&self, folder: &Path) -> Result<()> {
        replace_record(folder, IDENTITY_FILE, self)
    }

    /// Checks that the folder is the original and belongs to this host.
    ///
    /// The host's name and the lock file's inode, which no copy keeps, must be those that the
    /// folder was created with. Otherwise a folder that was copied to a second host or restored
    /// from a copy could vote again in terms in which its original has already voted.
    pub(crate) fn check(&self, folder: &Path, host: &HostId, inode: u64) -> Result<()> {
        if self.format != FOLDER_FORMAT {
            return Err(Report::new(StorageError::Format(self.format)));
        }
        if self.host != *host {
            return Err(Report::new(StorageError::Foreign(self.host.clone())));
        }
        if self.inode != inode {
            return Err(Report::new(StorageError::Copied(folder.into())));
        }
        Ok(())
    }
}

/// Returns the inode of an open file.
pub(crate) fn read_inode(file: &File, path: &Path) -> Result<u64> {
    file.metadata().map(|m| m.ino()).map_err(io_error(path))
}

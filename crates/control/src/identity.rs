//! Who a data folder is, so that a wiped, copied or moved one never votes as another.

use std::fs::File;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

use error_stack::Report;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::files::{load, replace};
use crate::storage::{broken, Result, StorageError};
use crate::voters::{ClusterId, VoterId, Voters};

/// The format of a data folder that this release writes.
pub const FORMAT: u32 = 1;

/// The identity's file in the folder.
const FILE: &str = "identity";

data! {
    /// Who a data folder is.
    pub struct Identity {
        /// The format of the folder.
        pub format: u32,
        /// The voter's id, drawn when the folder was made.
        pub voter: VoterId,
        /// The host that it belongs to.
        pub host: HostId,
        /// The inode of the folder's lock file: a copy has another one.
        pub inode: u64,
        /// How often a process has started on it.
        pub starts: u64,
        /// The cluster that it belongs to, once that is formed.
        pub cluster: Option<ClusterId>,
        /// The voters that the cluster was formed with, or none for a learner.
        #[serde(rename = "formed")]
        pub first_voters: Voters,
    }
}

impl Identity {
    /// The identity of a folder that is made now.
    pub fn new(voter: VoterId, host: HostId, inode: u64) -> Self {
        Self {
            format: FORMAT,
            voter,
            host,
            inode,
            starts: 0,
            cluster: None,
            first_voters: Voters::default(),
        }
    }

    /// Reads a folder's identity, or nothing where it has none.
    pub(crate) fn load(folder: &Path) -> Result<Option<Self>> {
        load(&folder.join(FILE))
    }

    /// Keeps the identity in its folder.
    pub(crate) fn keep(&self, folder: &Path) -> Result<()> {
        replace(folder, FILE, self)
    }

    /// Failure guarded against: a folder is copied to a second host, or put back from a copy,
    /// and votes again in terms in which its original has voted. The host's name and the lock
    /// file's inode, which no copy keeps, must be those that the folder was made with.
    pub(crate) fn check(&self, folder: &Path, host: &HostId, inode: u64) -> Result<()> {
        if self.format != FORMAT {
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

/// The inode of an open file.
pub(crate) fn inode(file: &File, path: &Path) -> Result<u64> {
    file.metadata().map(|m| m.ino()).map_err(broken(path))
}

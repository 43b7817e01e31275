//! The frames of an answer, and the agent's word on an attempt.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// A short name of a dispatch, which every frame carries.
    ///
    /// Failure guarded against: a connection that brings another request's answer. It shows as
    /// a frame with a foreign tag; such a frame is dropped, so no caller gets another's bytes.
    #[derive(Copy, Hash)]
    #[serde(transparent)]
    pub struct Tag(u64);

    /// A header of a call or answer.
    pub struct Header {
        /// The lower-case name.
        pub name: String,
        /// The value.
        pub value: String,
    }

    /// One frame of an answer.
    pub struct Frame {
        /// The dispatch that it answers.
        pub tag: Tag,
        /// What it brings.
        pub part: Part,
    }

    /// What a frame brings.
    pub enum Part {
        /// The dispatch stands in the ledger.
        Accepted {
            /// Filler, which the transport may need to send a first frame at once.
            #[serde(with = "serde_bytes")]
            padding: Vec<u8>,
        },
        /// The backend server began to answer.
        Head {
            /// The HTTP status.
            status: u16,
            /// The headers to pass on.
            headers: Vec<Header>,
        },
        /// A piece of the answer's body.
        Data {
            /// The bytes of the body that came before.
            offset: u64,
            /// The piece.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
        },
        /// The backend server is at work; nothing new.
        Beat,
        /// The body is whole.
        End {
            /// The length of the whole body.
            total: u64,
            /// The CRC-32 of the whole body.
            checksum: u32,
            /// The backend server's load, fresh.
            load: LoadReport,
        },
        /// The backend server failed after the dispatch had begun.
        Failed {
            /// How.
            reason: Failure,
        },
        /// The agent refused: it did not run.
        Refused {
            /// Why.
            reason: RefusalReason,
        },
    }

    /// How a dispatch failed on the backend server.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Failure {
        /// The connection to the backend server broke.
        Broken,
        /// The backend server died with the dispatch in flight; its agent numbers the deaths.
        Died(u64),
        /// The backend server sent nothing for too long.
        Silent,
        /// The answer's time ran out.
        Late,
        /// The attempt was cancelled.
        Cancelled,
        /// The bytes that were asked for are no longer kept.
        Dropped,
    }

    /// Why an agent refused a dispatch or a resume.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// It was addressed to another incarnation.
        Incarnation,
        /// The agent drains.
        Draining,
        /// Its deadline had passed.
        Late,
        /// Its id was barred by a settle.
        Barred,
        /// Its id is older than ids that were already forgotten.
        Expired,
        /// The ledger is full.
        Full,
        /// Another suspect runs, and two are never run side by side.
        Suspect,
        /// The backend server does not answer.
        Unreachable,
        /// The id is not known, and nothing of it is kept.
        Unknown,
    }

    /// The agent's word on an attempt.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptStatus {
        /// It runs.
        Running,
        /// It finished.
        Finished,
        /// It ran and failed.
        Failed(Failure),
        /// It did not run and never will.
        Barred,
        /// The id was forgotten; it may have run.
        Forgotten,
        /// Another incarnation was asked; it may have run.
        Gone,
    }
}

impl Tag {
    /// The tag of a dispatch.
    pub fn for_dispatch(id: &DispatchId) -> Self {
        let mut hash = Xxh3::new();
        hash.update(id.entry.host.as_str().as_bytes());
        hash.update(&id.entry.incarnation.get().to_be_bytes());
        hash.update(&id.counter.to_be_bytes());
        Self(hash.digest())
    }
}

impl Frame {
    /// A frame that answers the dispatch with this tag.
    pub const fn new(tag: Tag, part: Part) -> Self {
        Self { tag, part }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Broken => "the connection to the backend server broke",
            Self::Died(_) => "the backend server died",
            Self::Silent => "the backend server went silent",
            Self::Late => "the deadline passed",
            Self::Cancelled => "the attempt was cancelled",
            Self::Dropped => "the answer is no longer kept",
        })
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Incarnation => "addressed to another incarnation of the agent",
            Self::Draining => "the backend server is leaving",
            Self::Late => "the deadline had passed",
            Self::Barred => "the attempt was settled as not run",
            Self::Expired => "the attempt is older than ones already forgotten",
            Self::Full => "the agent's ledger is full",
            Self::Suspect => "another suspect runs there",
            Self::Unreachable => "the backend server does not answer",
            Self::Unknown => "the agent does not know the attempt",
        })
    }
}

//! The frames of an answer, and the states that an agent reports for an attempt.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// A hash of a dispatch's id, which every frame of its answer carries.
    ///
    /// It guards against a connection that delivers another request's answer. A frame with
    /// another tag is dropped, so no caller gets the bytes of another one's answer.
    #[derive(Copy, Hash)]
    #[serde(transparent)]
    pub struct Tag(u64);

    /// An HTTP header of a call or answer.
    pub struct Header {
        /// The name, in lower case.
        pub name: String,
        /// The value.
        pub value: String,
    }

    /// One frame of an answer.
    pub struct Frame {
        /// The tag of the dispatch that the frame answers.
        pub tag: Tag,
        /// The content of the frame.
        pub part: Part,
    }

    /// The content of a frame.
    pub enum Part {
        /// The agent recorded the dispatch in its ledger.
        Accepted {
            /// Padding that the transport may need to send the first frame at once.
            #[serde(with = "serde_bytes")]
            padding: Vec<u8>,
        },
        /// The backend server began to answer.
        Head {
            /// The HTTP status.
            status: u16,
            /// The headers to forward to the caller.
            headers: Vec<Header>,
        },
        /// A piece of the answer's body.
        Data {
            /// The number of bytes of the body before this piece.
            offset: u64,
            /// The piece.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
        },
        /// The backend server still works on the answer, and there is nothing new to send.
        Beat,
        /// The body is complete.
        End {
            /// The length of the whole body, in bytes.
            total: u64,
            /// The CRC-32 of the whole body.
            checksum: u32,
            /// The current load of the backend server.
            load: LoadReport,
        },
        /// The backend server failed after the dispatch had begun.
        Failed {
            /// How the backend server failed.
            reason: Failure,
        },
        /// The agent refused the dispatch, so it did not run.
        Refused {
            /// Why the agent refused.
            reason: RefusalReason,
        },
    }

    /// How a dispatch failed on the backend server.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Failure {
        /// The connection to the backend server broke.
        Broken,
        /// The backend server died with the dispatch in flight. Its agent numbers the deaths.
        Died(u64),
        /// The backend server sent nothing for too long.
        Silent,
        /// The deadline passed before the answer was complete.
        Late,
        /// The attempt was cancelled.
        Cancelled,
        /// The agent no longer keeps the requested bytes of the answer.
        Dropped,
    }

    /// Why an agent refused a dispatch or a resume.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalReason {
        /// The message was addressed to another incarnation of the agent.
        Incarnation,
        /// The agent is draining.
        Draining,
        /// The deadline had passed.
        Late,
        /// The id was barred when the attempt was settled.
        Barred,
        /// The id is older than ids that were already forgotten.
        Expired,
        /// The ledger is full.
        Full,
        /// Another suspected request runs there, and two of them never run side by side.
        Suspect,
        /// The backend server does not answer.
        Unreachable,
        /// The agent does not know the id and keeps nothing of its answer.
        Unknown,
    }

    /// The status of an attempt, as its agent reports it.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum AttemptStatus {
        /// The attempt runs.
        Running,
        /// The attempt finished.
        Finished,
        /// The attempt ran and failed.
        Failed(Failure),
        /// The attempt did not run and never will.
        Barred,
        /// The agent has forgotten the id, so the attempt may have run.
        Forgotten,
        /// The attempt was sent to another incarnation of the agent, so it may have run.
        Gone,
    }
}

impl Tag {
    /// Returns the tag of a dispatch.
    pub fn for_dispatch(id: &DispatchId) -> Self {
        let mut hash = Xxh3::new();
        hash.update(id.entry.host.as_str().as_bytes());
        hash.update(&id.entry.incarnation.get().to_be_bytes());
        hash.update(&id.counter.to_be_bytes());
        Self(hash.digest())
    }
}

impl Frame {
    /// Creates a frame that answers the dispatch with this tag.
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

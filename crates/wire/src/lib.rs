//! Messages and transport between the system's own processes: HTTP and rmp-serde.
//!
//! - [`message`]: the typed messages.
//! - [`config`]: the messages that spread the configuration.
//! - [`follow`]: keeps a process at the newest configuration, over the wire.
//! - [`control`]: the messages between voters.
//! - [`frame`]: the framed, offset-addressed answer stream from agent to entry.
//! - [`group`]: messages between the agents of a group and towards their engines.
//! - [`gossip`]: how membership travels.
//! - [`order`]: orders to backend servers, and the fencing numbers that they carry.
//! - [`gossip`]: how membership travels.
//! - [`gossip`]: how membership travels.
//! - [`group`]: messages between the agents of a group and towards their engines.
//! - [`codec`]: messages to bytes and back.
//! - [`connect`]: connections that send a body without waiting for `100-continue`.
//! - [`peer`]: calls to another process, each with a deadline, and retirement of connections.
//! - [`serve`]: the server side: bind, read a message, write one.
//! - [`stamp`]: stamps of the hybrid logical clock on messages.
//! - [`mod@pipe`]: a bounded byte pipe, which feeds a streaming HTTP body.

pub mod codec;
pub mod config;
pub mod connect;
pub mod control;
pub mod follow;
pub mod frame;
pub mod gossip;
pub mod group;
pub mod message;
pub mod order;
pub mod peer;
pub mod pipe;
pub mod serve;
pub mod stamp;

pub use codec::{decode, encode, encode_into, CodecError};
pub use config::ConfigPoll;
pub use follow::{follow_forever, ConfigSink};
pub use frame::{Frame, FrameReader, FrameWriter, Part};
pub use gossip::Packed;
pub use message::{
    Announce, AttemptStatus, Call, Cancel, Dispatch, Header, ResumeFrom, Settle, Settlement,
    Suspected,
};
pub use peer::{Peer, PeerError, PeerErrorKind, Stream};
pub use pipe::{pipe, PipeReader, PipeWriter};
pub use serve::{listen, spawn, ServerHandle};
pub use stamp::Stamped;

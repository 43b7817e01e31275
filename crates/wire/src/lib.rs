//! Messages and transport between the system's own processes, over HTTP and MessagePack.
//!
//! - [`message`]: the messages between entries and agents.
//! - [`config`]: the messages that distribute the configuration.
//! - [`follow`]: keeps the configuration of a process up to date.
//! - [`answers`]: answers that return with the exchanges that a peer begins.
//! - [`control`]: the messages between voters, and to the control leader.
//! - [`frame`]: the framed, offset-addressed answer stream from agent to entry.
//! - [`group`]: the messages between the agents of a group, and to their engines.
//! - [`gossip`]: the paths and the compact encoding of membership messages.
//! - [`order`]: orders to backend servers, and the fencing numbers that they carry.
//! - [`codec`]: encoding and decoding of messages.
//! - [`connect`]: HTTP clients that send a body without waiting for `100-continue`.
//! - [`peer`]: calls to another process, each with a timeout, over connections that can be retired.
//! - [`serve`]: the HTTP server, which reads messages and replies to them.
//! - [`stamp`]: stamps of the hybrid logical clock in a header of each message.
//! - [`mod@pipe`]: a bounded byte pipe for a streaming HTTP body.

pub mod answers;
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

pub use answers::AnswerQueue;
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

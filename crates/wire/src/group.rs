//! The messages between the agents of a group's ranks, and from an agent to its rank's engine.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_groups::agree::{LeadMessage, LeadTerm, PeerMessage, Proposal, RankMessage};

/// Paths of the messages.
pub mod path {
    /// An agent sends a message to another of its group: [`GroupMessage`](super::GroupMessage).
    pub const GROUP: &str = "/own/group";
    /// An agent asks its engine for its status.
    pub const ENGINE_STATUS: &str = "/engine/group/status";
    /// An agent passes a permit to its engine.
    pub const ENGINE_PERMIT: &str = "/engine/group/permit";
    /// An agent orders its engine to load the weights of a map.
    pub const ENGINE_WEIGHTS: &str = "/engine/group/weights";
}

data! {
    /// A message within a group.
    pub struct GroupMessage {
        /// The group.
        pub group: GroupId,
        /// The rank that sends it.
        pub from: u32,
        /// The content of the message.
        pub body: GroupBody,
    }

    /// The content of a message within a group.
    pub enum GroupBody {
        /// From a lead to a rank.
        Lead(LeadMessage),
        /// From a rank to the lead of a term.
        Rank(LeadTerm, RankMessage),
        /// From a rank to another rank.
        Peer(PeerMessage),
        /// From the control role to the lead, to bring a map into force.
        Propose(Proposal),
        /// From the control role, to make the rank the lead.
        Appoint,
        /// From the control role, the fencing number that a majority knows.
        Fence(Fence),
        /// From an entry that knows the members, the addresses of the agents of all ranks.
        Roster(Vec<SocketAddr>),
    }

    /// The acknowledgement that a message was received; its result is sent separately.
    #[derive(Copy)]
    pub struct Ack;
}

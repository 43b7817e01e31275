//! Messages between the agents of a group's ranks, and from an agent to its rank's engine.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_groups::agree::{LeadMessage, LeadTerm, PeerMessage, Proposal, RankMessage};

/// Paths of the messages.
pub mod path {
    /// An agent tells another of its group something: [`GroupMessage`](super::GroupMessage).
    pub const GROUP: &str = "/own/group";
    /// An agent asks its engine where it stands.
    pub const ENGINE_STATUS: &str = "/engine/group/status";
    /// An agent passes its engine a permit.
    pub const ENGINE_PERMIT: &str = "/engine/group/permit";
    /// An agent has its engine load the weights of a map.
    pub const ENGINE_WEIGHTS: &str = "/engine/group/weights";
}

data! {
    /// A message within a group, with the group that it is meant for.
    pub struct GroupMessage {
        /// The group.
        pub group: GroupId,
        /// The rank that sends it.
        pub from: u32,
        /// What it says.
        pub body: GroupBody,
    }

    /// What a message within a group says.
    pub enum GroupBody {
        /// From a lead to a rank.
        Lead(LeadMessage),
        /// From a rank to the lead of a term.
        Rank(LeadTerm, RankMessage),
        /// From a rank to a rank.
        Peer(PeerMessage),
        /// From the control role to the lead: bring this map into force.
        Propose(Proposal),
        /// From the control role: become the lead.
        Appoint,
        /// From the control role: the fencing number that a majority knows.
        Fence(Fence),
        /// From an entry that knows the members: where the agents of all ranks listen.
        Roster(Vec<SocketAddr>),
    }

    /// The word that a message was taken; what comes of it is sent by itself.
    #[derive(Copy)]
    pub struct Ack;
}

//! How the first voters form a cluster, once, and how later ones find it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::data;

use crate::voters::{ClusterId, Location, VoterId, Voters};

data! {
    /// A request to a control host to say who it is.
    pub struct Hello {
        /// The sender.
        pub voter: VoterId,
    }

    /// The identity of a control host and its cluster.
    pub struct ControlHost {
        /// Its voter id, from its data folder.
        pub voter: VoterId,
        /// Its location.
        #[serde(rename = "seat")]
        pub location: Location,
        /// The cluster that it belongs to, once that is formed.
        pub cluster: Option<ClusterId>,
        /// The voters that the cluster was formed with.
        #[serde(rename = "formed")]
        pub first_voters: Voters,
    }
}

/// Returns the cluster to join or form and its first voters, if the answers so far decide it.
///
/// `known` holds the own host and those of the sorted `addresses` that have answered; `first` says
/// whether a cluster may be formed at all.
///
/// Only the host with the lowest address forms a cluster, so that two hosts never form two. None is
/// formed unless every listed host is new, and a host that is not among the first voters joins as a
/// learner; otherwise a host whose disk was wiped would form a new cluster beside the old one.
pub fn choose_cluster(
    first: bool,
    own: SocketAddr,
    addresses: &[SocketAddr],
    known: &BTreeMap<SocketAddr, ControlHost>,
) -> Option<(ClusterId, Voters)> {
    let me = known[&own].voter;
    let formed = known.values().find_map(|k| Some((k.cluster?, k)));
    if let Some((cluster, other)) = formed {
        let voters = if other.first_voters.is_voter(me) {
            other.first_voters.clone()
        } else {
            Voters::default()
        };
        return Some((cluster, voters));
    }
    let complete = addresses.iter().all(|a| known.contains_key(a));
    if !first || !complete || addresses.first() != Some(&own) {
        return None;
    }
    let seats = addresses
        .iter()
        .map(|a| (known[a].voter, known[a].location.clone()));
    Some((ClusterId(me.get()), Voters::new(seats.collect())))
}

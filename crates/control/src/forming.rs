//! How the first voters become a cluster, once; and how later ones find it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::data;

use crate::voters::{ClusterId, Location, VoterId, Voters};

data! {
    /// Who asks who a control host is.
    pub struct Hello {
        /// The asker.
        pub voter: VoterId,
    }

    /// Who a control host is.
    pub struct ControlHost {
        /// Its id, from its data folder.
        pub voter: VoterId,
        /// Where it is.
        #[serde(rename = "seat")]
        pub location: Location,
        /// Its cluster, once that is formed.
        pub cluster: Option<ClusterId>,
        /// The voters that the cluster was formed with.
        #[serde(rename = "formed")]
        pub first_voters: Voters,
    }
}

/// The cluster to belong to, if that is clear from who has answered so far.
///
/// `known` holds the own host and those of `addresses` (sorted) that answered; `first` says whether
/// a cluster may be formed at all.
///
/// Failures guarded against: two hosts form two clusters (only the lowest address forms one); a
/// host whose disk was wiped forms a new cluster beside the old one (none is formed unless every
/// listed host is new, and a host that is not among its voters only learns).
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

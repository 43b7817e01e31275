//! Checks of addresses for the settings of both binaries.

use std::net::SocketAddr;

use crate::fault::{Fault, FaultKind};

/// Finds addresses that occur at more than one key.
///
/// Port 0 is left out: the system picks a free port for each such address.
pub(crate) fn duplicate_addresses<'a>(
    addresses: impl IntoIterator<Item = (&'a str, Option<SocketAddr>)>,
) -> Vec<Fault> {
    let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
    let mut faults = Vec::new();
    for (key, address) in addresses {
        let Some(address) = address.filter(|a| a.port() != 0) else {
            continue;
        };
        match seen.iter().find(|(_, a)| *a == address) {
            Some((other, _)) => {
                faults.push(Fault::new(key, FaultKind::Duplicate(other.to_string())))
            }
            None => seen.push((key, address)),
        }
    }
    faults
}

/// Finds faults of a list of addresses of other processes.
pub(crate) fn check_peers(key: &str, peers: &[SocketAddr]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, address) in peers.iter().enumerate() {
        let path = format!("{key}[{index}]");
        if address.ip().is_unspecified() || address.port() == 0 {
            faults.push(Fault::new(&path, FaultKind::Unreachable));
        }
        if let Some(first) = peers[..index].iter().position(|a| a == address) {
            faults.push(Fault::new(
                &path,
                FaultKind::Duplicate(format!("{key}[{first}]")),
            ));
        }
    }
    faults
}

/// Returns a fault if other processes can't connect to an address that is announced to them.
pub(crate) fn check_reachable(key: &str, address: SocketAddr) -> Option<Fault> {
    let unspecified = address.ip().is_unspecified();
    unspecified.then(|| Fault::new(key, FaultKind::Unreachable))
}

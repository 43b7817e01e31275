//! Who sent announcements that name no server to use.

use std::collections::HashSet;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_platform::document;

use crate::voter::Voter;

/// How many senders are remembered, so that each is logged once; what others send is counted only.
const REMEMBERED: usize = 1_000;

/// Who sent announcements that name no server to use, and which services do have servers.
#[derive(Debug, Default)]
pub(crate) struct Strangers {
    logged: Mutex<HashSet<String>>,
    services: Mutex<Services>,
}

/// The services of a version of the configuration.
#[derive(Debug, Default)]
struct Services {
    version: Version,
    names: HashSet<ServiceId>,
}

impl Strangers {
    /// Takes note of an announcement that is ignored: logged the first time, counted each time.
    pub(crate) fn note(&self, journal: &Journal, id: &str, reason: &str) {
        let mut logged = self.logged.lock();
        let first = logged.len() < REMEMBERED && logged.insert(id.to_owned());
        drop(logged);
        if first {
            journal.record(Event::AnnouncementIgnored, id, reason);
        } else {
            let ring = journal.ring();
            ring.record(Event::AnnouncementIgnored, id, reason);
        }
    }

    /// Whether the newest configuration has a service; any counts while none is known.
    ///
    /// Failure guarded against: an announcement of another writer names a service that does not exist and a
    /// real server's address; it takes the address over, and that server gets no requests.
    pub(crate) fn has_service(&self, voter: &Voter, service: &ServiceId) -> bool {
        let version = voter.version();
        let mut services = self.services.lock();
        if services.version != version {
            let document = voter.document().map(|d| document::read(&d.text));
            // Whatever was committed was read before; a fault here only means that any service counts.
            let Some(Ok(document)) = document else {
                return true;
            };
            services.names = document.services.into_iter().map(|s| s.name).collect();
            services.version = version;
        }
        services.version == Version(0) || services.names.contains(service)
    }
}

//! The senders of announcements that are refused because they name no usable server.

use std::collections::HashSet;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_platform::document;

use crate::voter::Voter;

/// The number of senders that are remembered, so that each is logged once; further ones are only
/// counted.
const MAX_REMEMBERED: usize = 1_000;

/// The senders of refused announcements, and the configured services.
#[derive(Debug, Default)]
pub(crate) struct UnknownSenders {
    logged: Mutex<HashSet<String>>,
    services: Mutex<Services>,
}

/// The services in one version of the configuration.
#[derive(Debug, Default)]
struct Services {
    version: Version,
    names: HashSet<ServiceId>,
}

impl UnknownSenders {
    /// Records a refused announcement: it is logged the first time and counted each time.
    pub(crate) fn record(&self, journal: &Journal, id: &str, reason: &str) {
        let mut logged = self.logged.lock();
        let first = logged.len() < MAX_REMEMBERED && logged.insert(id.to_owned());
        drop(logged);
        if first {
            journal.record(Event::AnnouncementIgnored, id, reason);
        } else {
            let ring = journal.ring();
            ring.record(Event::AnnouncementIgnored, id, reason);
        }
    }

    /// Whether the newest configuration has a service; always true while no configuration is known.
    ///
    /// Otherwise an announcement from an unknown sender could name a service that does not exist
    /// and the address of a real server, take over that address, and keep requests from that
    /// server.
    pub(crate) fn has_service(&self, voter: &Voter, service: &ServiceId) -> bool {
        let version = voter.version();
        let mut services = self.services.lock();
        if services.version != version {
            let document = voter.text().map(|text| document::read(&text));
            // A committed document was readable when it was submitted. If it is not readable now,
            // any service is accepted.
            let Some(Ok(document)) = document else {
                return true;
            };
            services.names = document.services.into_iter().map(|s| s.name).collect();
            services.version = version;
        }
        services.version == Version(0) || services.names.contains(service)
    }
}

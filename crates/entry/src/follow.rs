//! Fetches the configuration from the hosts that the settings name.

use std::sync::Arc;

use snipemast_config::{Census, Config, Delta, Follower, ProcessVersion};
use snipemast_core::prelude::*;
use snipemast_wire::ConfigSink;

use crate::shared::Shared;

/// Follows the seeds' configuration, unless this host has the control role.
pub async fn follow_forever(shared: Arc<Shared>) {
    if shared.settings.control.is_some() {
        return;
    }
    // The seed only has to differ between hosts, so that they don't pause in step.
    let seed = shared.process.incarnation.get() ^ u64::from(shared.settings.own.port()) << 32;
    let follower = Follower::new(shared.settings.seeds.len(), shared.config(), seed);
    snipemast_wire::follow_forever(shared.as_ref(), &shared.settings.seeds, follower).await;
}

impl ConfigSink for Shared {
    fn clock(&self) -> &Clock {
        self.distributor.clock()
    }

    fn versions(&self) -> (ProcessVersion, Census) {
        let standing = ProcessVersion {
            process: self.process.clone(),
            zone: self.settings.zone.clone(),
            version: self.config().version,
            age: self.distributor.age(),
        };
        let below = self.distributor.census_below(&standing);
        (standing, below)
    }

    fn apply_config(&self, config: Arc<Config>, delta: Option<Delta>) {
        self.advance(config, delta);
    }

    fn update_link(&self, linked: bool, age: Option<Span>, fence: Fence) {
        self.distributor.set_link(linked, age, fence);
    }
}

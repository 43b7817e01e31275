//! The state machine of the control role: the configuration, and the verdict of each patch.

use std::collections::BTreeMap;
use std::sync::Arc;

use snipemast_config::{Config, Patch, Verdict};
use snipemast_core::prelude::*;

/// The configuration in force and every patch's verdict.
#[derive(Debug, Default)]
pub struct Machine {
    config: Arc<Config>,
    verdicts: BTreeMap<PatchId, Verdict>,
}

impl Machine {
    /// Starts from a configuration.
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            verdicts: BTreeMap::new(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Applies a patch whole or refuses it whole.
    ///
    /// Failure guarded against: an operator resends a patch whose answer was lost, and it takes
    /// effect twice. The first verdict is kept under the patch's id and given again.
    pub fn submit(&mut self, patch: &Patch) -> Verdict {
        if let Some(verdict) = self.verdicts.get(&patch.id) {
            return verdict.clone();
        }
        let verdict = match patch.apply(&self.config) {
            Ok(config) => {
                let version = config.version;
                self.config = Arc::new(config);
                Verdict::Accepted { version }
            }
            Err(refusal) => Verdict::Refused { refusal },
        };
        self.verdicts.insert(patch.id.clone(), verdict.clone());
        verdict
    }
}

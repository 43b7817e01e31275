//! The messages that spread the configuration.

use snipemast_config::{Ask, Census, Standing};
use snipemast_core::prelude::*;

data! {
    /// A question about the configuration, and how the asker stands; the answer is a
    /// [`Reply`](snipemast_config::Reply).
    pub struct ConfigPoll {
        /// The question.
        pub ask: Ask,
        /// What the asker has in force.
        pub standing: Standing,
        /// What those that ask the asker have in force.
        pub below: Census,
    }
}

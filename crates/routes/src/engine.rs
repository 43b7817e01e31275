//! The published properties of a service's model engine.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    float
    /// The published properties of an engine whose servers are ranks of groups.
    pub struct Engine {
        /// The number of requests that a rank runs at once.
        pub slots: u32,
        /// The number of tokens of context that a rank's memory holds.
        pub memory: u64,
        /// The number of token steps in one pass.
        pub stride: u32,
        /// The duration of a token step in milliseconds.
        pub step: f64,
        /// The additional milliseconds for each request that generates tokens.
        pub sequence: f64,
        /// The additional milliseconds for each 1,000 tokens of context of a request that
        /// generates tokens.
        pub context: f64,
        /// The number of prompt tokens processed per second.
        pub read: f64,
        /// The most prompt tokens processed in one step.
        pub chunk: u32,
        /// The mean numbers of tokens of a prompt and of an answer.
        pub usual: (f64, f64),
        /// The expert layout of the groups, if the model has experts.
        pub experts: Option<Experts>,
    }

    /// The layout of experts on the ranks of a group.
    pub struct Experts {
        /// The number of sets of layers, each of which has its own layout.
        pub sets: u32,
        /// The number of experts in each set.
        pub count: u32,
        /// The most experts of a set that a rank can hold.
        pub places: u32,
        /// The most experts of a set that a rank can load in one preparation.
        pub spare: u32,
        /// The size of one expert in MB.
        pub megabytes: f64,
        /// The share of the work for a token that is done by experts.
        pub share: f64,
        /// How long a group takes to form again.
        pub form: Span,
    }
}

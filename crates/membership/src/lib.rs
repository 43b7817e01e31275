//! Membership of entries and agents by leases and gossip, and the timeline of events.
//!
//! Agents hold leases at entries of their zone. The entries gossip about the agents that they own,
//! and about each other.
//!
//! - [`announcer`]: the state machine of an agent, which keeps its leases.
//! - [`node`]: the state machine of an entry, over the parts below.
//! - [`exchange`]: the exchanges between two entries.
//! - [`judge`]: failure detection among the entries of a zone.
//! - [`agents`]: how an entry handles the messages of agents.
//! - [`card`]: the descriptions that entries and agents give of themselves.
//! - [`message`]: the messages of the protocol.
//! - [`owned`]: the versioned set of agents that one entry owns.
//! - [`table`]: all owners, and the agents as the union over them.
//! - [`view`]: an agent as one entry sees it.
//! - [`spread`]: the queue of news that goes to the peers next.
//! - [`zones`]: which other zones answer.
//! - [`leases`]: the leases that an entry has granted.
//! - [`loads`]: loads of agents within the zone, and summaries across zones.
//! - [`piggyback`]: small values of other packages that spread with the exchanges.
//! - [`timeline`]: the events of many processes in causal order, with bounded memory.
//! - [`transcript`]: the events of one request, patch or map change as lines of text.
//! - [`tuning`]: intervals and bounds.

pub mod agents;
pub mod announcer;
pub mod card;
pub mod exchange;
pub mod judge;
pub mod leases;
pub mod loads;
pub mod message;
pub mod node;
pub mod owned;
pub mod piggyback;
pub mod spread;
pub mod table;
pub mod timeline;
pub mod transcript;
pub mod tuning;
pub mod view;
pub mod zones;

pub use announcer::{AnnounceInput, AnnounceOutput, AnnounceTuning, Announcer};
pub use card::{AgentCard, NodeCard};
pub use message::{AgentMessage, LeaseReply, Load, Packet, PoolSummary};
pub use node::{Input, Node, Output, Token};
pub use owned::{Change, Delta, OwnedSet};
pub use piggyback::{PiggybackStore, PiggybackValue, Topic};
pub use table::{Table, Verdict, VerdictKind};
pub use tuning::Tuning;
pub use view::{AgentView, Reach};

//! Servers that say in their answers that they leave, whatever they announce.

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::starts::Starts;

/// How long a start that is not known any more is remembered to leave: it may come back to the news.
const REMEMBERED: Span = Span::from_secs(3_600);

/// The most starts that are remembered.
const MOST: usize = 4_096;

data! {
    /// A start of a server that leaves, as a gateway tells of it.
    pub struct LeavingServer {
        /// The server.
        pub server: ServerId,
        /// Which start of it.
        pub start: Incarnation,
        /// How long ago it said so first.
        pub age: Span,
    }
}

/// The starts of servers that leave; none of them ever becomes ready again.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeavingServers {
    known: Starts<Word>,
}

/// What is known of a start that leaves.
#[derive(Debug, Clone)]
struct Word {
    /// When it said so first.
    first: Moment,
    /// Whether a controller knows.
    spread: bool,
}

impl LeavingServers {
    /// A start said at a moment that it leaves; true where that is news.
    pub(crate) fn note(
        &mut self,
        first: Moment,
        server: &ServerId,
        start: Incarnation,
        spread: bool,
    ) -> bool {
        if let Some(word) = self.known.get_mut(server, start) {
            word.first = word.first.min(first);
            word.spread |= spread;
            return false;
        }
        self.known.insert(server, start, Word { first, spread });
        self.known.shrink(MOST, |word| word.first);
        true
    }

    /// When a start said first that it leaves, if it did.
    pub(crate) fn first(&self, server: &ServerId, start: Incarnation) -> Option<Moment> {
        self.known.get(server, start).map(|word| word.first)
    }

    /// The starts of which no controller is known to have heard.
    pub(crate) fn unspread(&self, now: Moment) -> impl Iterator<Item = LeavingServer> + '_ {
        let unspread = self.known.iter().filter(|(_, _, word)| !word.spread);
        unspread.map(move |(server, start, word)| LeavingServer {
            server: server.clone(),
            start,
            age: now.since(word.first),
        })
    }

    /// Forgets starts that left long ago, but for those that are known still.
    pub(crate) fn forget(&mut self, now: Moment, knows: impl Fn(&ServerId, Incarnation) -> bool) {
        let recent = |word: &Word| now < word.first + REMEMBERED;
        self.known
            .retain(|server, start, word| recent(word) || knows(server, start));
    }
}

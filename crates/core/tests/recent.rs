//! The map of the values that were used last.

use quickcheck::quickcheck;

use snipemast_core::recent::Recent;

const CAPACITY: usize = 4;

quickcheck! {
    /// Guards against a map that grows with every key that a peer invents: whatever the order of uses, it holds exactly the
    /// keys that were used last, up to its capacity.
    fn bounded_by_capacity(uses: Vec<(u8, bool)>) -> bool {
        let mut recent = Recent::new(CAPACITY);
        let mut order: Vec<u8> = Vec::new();
        uses.into_iter().all(|(key, inserted)| {
            if inserted {
                recent.insert(key, key);
            } else {
                recent.get_or_insert_with(key, || key);
            }
            order.retain(|k| *k != key);
            order.push(key);
            let kept = &order[order.len().saturating_sub(CAPACITY)..];
            recent.len() == kept.len() && kept.iter().all(|k| recent.get(k) == Some(k))
        })
    }
}

//! Tests of streams that are split into events.

use quickcheck::quickcheck;

use snipemast_placement::EventSplitter;

fn read_id(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(line.strip_prefix(b"id: ")?)
        .ok()?
        .parse()
        .ok()
}

fn stream(from: u64, to: u64) -> Vec<u8> {
    let events = (from..=to).map(|id| format!("id: {id}\ndata: word {id}\n\n"));
    events.collect::<String>().into_bytes()
}

quickcheck! {
    /// A stream breaks off anywhere and is resumed at another server, which repeats an event.
    /// However the bytes are split into pieces, the caller must get every event once and complete.
    fn resumed_stream_complete(cut: usize, piece: u8) -> bool {
        let whole = stream(1, 9);
        let cut = cut % whole.len();
        let piece = usize::from(piece) % 40 + 1;
        let mut events = EventSplitter::new(read_id, None);
        let mut out = Vec::new();
        for bytes in whole[..cut].chunks(piece) {
            out.extend(events.push(bytes).unwrap());
        }
        events.discard_partial();
        let last = events.last_id().unwrap_or(0);
        for bytes in stream(last.max(1), 9).chunks(piece) {
            out.extend(events.push(bytes).unwrap());
        }
        out == whole && events.is_complete()
    }
}

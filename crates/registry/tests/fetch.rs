//! How a process gets the newest configuration from controllers.

use std::net::SocketAddr;

use quickcheck::quickcheck;
use snipemast_core::hash::mix;
use snipemast_core::prelude::*;
use snipemast_diff::{Diff, Fingerprint};
use snipemast_registry::fetch::{
    FetchAnswer, FetchRequest, Fetched, Fetcher, Original, Transfers, FETCH_TIMEOUT,
};

/// The configurations that a controller had, the last of which is in force. It knows the changes since `oldest`.
#[derive(Debug, Clone)]
struct History {
    texts: Vec<Vec<u8>>,
    oldest: usize,
}

impl History {
    fn new(texts: Vec<Vec<u8>>) -> Self {
        Self { texts, oldest: 0 }
    }

    fn text(&self, version: Version) -> &[u8] {
        match version.get() {
            0 => &[],
            number => &self.texts[number as usize - 1],
        }
    }
}

impl Original for History {
    fn version(&self) -> Version {
        Version(self.texts.len() as u64)
    }

    fn has_changes_since(&self, version: Version) -> bool {
        version > Version(self.oldest as u64) && version < self.version()
    }

    fn changes_since(&self, version: Version) -> Vec<Diff> {
        if version == Version(0) {
            return vec![Diff::whole(self.text(self.version()))];
        }
        let steps = version.get()..self.texts.len() as u64;
        let step = |v: u64| Diff::between(self.text(Version(v)), self.text(Version(v + 1)));
        steps.map(step).collect()
    }
}

/// Returns bytes that can't be compressed.
fn noise(length: usize, seed: u64) -> Vec<u8> {
    (0..length)
        .map(|at| mix(mix(at as u64) ^ seed) as u8)
        .collect()
}

fn controller(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn seconds(seconds: u64) -> Moment {
    Moment::from_millis(1_000 * seconds)
}

/// Fetches from one controller until a transfer is complete; returns it with the number of bytes that were sent.
fn fetch(
    fetcher: &mut Fetcher,
    transfers: &mut Transfers,
    history: &History,
    have: Version,
) -> (Fetched, usize) {
    let (now, mut sent) = (seconds(5), 0);
    loop {
        let next = fetcher.next_request(now, have).unwrap();
        let answer = transfers.answer(now, &next.request, history);
        if let FetchAnswer::Piece(piece) = &answer {
            sent += piece.bytes.len();
        }
        if let Some(fetched) = fetcher.receive(now, next.controller, answer, have) {
            return (fetched, sent);
        }
    }
}

fn apply(fetched: &Fetched, base: &[u8]) -> Vec<u8> {
    let base = if fetched.transfer.from == Version(0) {
        Vec::new()
    } else {
        base.to_vec()
    };
    let changes = fetched.changes.iter();
    changes.fold(base, |text, change| change.apply(&text).unwrap())
}

/// Guards against links between availability zones that carry each configuration once for each controller.
#[test]
fn one_asked_at_a_time() {
    let mut fetcher = Fetcher::new(1);
    let now = seconds(5);
    for number in 0..4 {
        fetcher.record_version(controller(number), Version(2), number == 3);
    }
    for _ in 0..3 {
        let next = fetcher.next_request(now, Version(1)).unwrap();
        assert_eq!(next.controller, controller(3));
    }
    fetcher.record_failure(now + FETCH_TIMEOUT, controller(3));
    let other = fetcher
        .next_request(now + FETCH_TIMEOUT, Version(1))
        .unwrap();
    assert_ne!(other.controller, controller(3));
    assert_eq!(fetcher.next_request(now, Version(2)), None);
}

/// Guards against a size from which on a configuration never arrives, and against changes that cost as much as the whole.
#[test]
fn any_size_arrives() {
    for size in [50_000, 400_000, 2_000_000, 8_000_000] {
        let first = noise(size, 1);
        let second = [&first[..size / 2], b"a small change", &first[size / 2..]].concat();
        let history = History::new(vec![first.clone(), second.clone()]);
        let (mut fetcher, mut transfers) = (Fetcher::new(1), Transfers::default());
        fetcher.record_version(controller(1), Version(2), true);
        let (whole, sent) = fetch(&mut fetcher, &mut transfers, &history, Version(0));
        assert_eq!(apply(&whole, &[]), second);
        assert!(sent < size + size / 50 + 1_000, "{sent} bytes of {size}");
        let (change, sent) = fetch(&mut fetcher, &mut transfers, &history, Version(1));
        assert_eq!(apply(&change, &first), second);
        assert!(sent < 1_000, "{sent} bytes of {size}");
    }
}

/// Guards against a transfer that begins anew when its controller stops answering: another one goes on with it.
#[test]
fn other_controller_goes_on() {
    let history = History::new(vec![noise(500_000, 1)]);
    let mut fetcher = Fetcher::new(1);
    fetcher.record_version(controller(1), Version(1), true);
    fetcher.record_version(controller(2), Version(1), false);
    let now = seconds(5);
    let (mut sent, mut asked) = (0, Vec::new());
    let mut controllers = [Transfers::default(), Transfers::default()];
    let fetched = loop {
        let next = fetcher.next_request(now, Version(0)).unwrap();
        asked.push(next.controller);
        if asked.len() == 3 {
            fetcher.record_failure(now, next.controller);
            continue;
        }
        let number = usize::from(next.controller == controller(2));
        let answer = controllers[number].answer(now, &next.request, &history);
        if let FetchAnswer::Piece(piece) = &answer {
            sent += piece.bytes.len();
        }
        if let Some(fetched) = fetcher.receive(now, next.controller, answer, Version(0)) {
            break fetched;
        }
    };
    assert_eq!(apply(&fetched, &[]), history.texts[0]);
    assert!(asked.contains(&controller(2)));
    assert!(sent < 520_000, "{sent} bytes");
}

/// Guards against a slow transfer that never ends, since the configuration changes again before its end each time.
#[test]
fn ends_while_changed() {
    let mut history = History::new(vec![noise(1_000_000, 1)]);
    let (mut fetcher, mut transfers) = (Fetcher::new(1), Transfers::default());
    let now = seconds(5);
    for piece in 1.. {
        fetcher.record_version(controller(1), history.version(), true);
        let next = fetcher.next_request(now, Version(0)).unwrap();
        let answer = transfers.answer(now, &next.request, &history);
        let fetched = fetcher.receive(now, controller(1), answer, Version(0));
        if let Some(fetched) = fetched {
            assert_eq!(fetched.transfer.to, Version(1));
            break;
        }
        assert!(piece < 20);
        history.texts.push(noise(1_000_000, piece));
    }
}

/// Guards against a process that gets changes which it can't apply, from a controller that doesn't know its version.
#[test]
fn unknown_version_gets_whole() {
    let mut history = History::new(vec![noise(2_000, 1), noise(2_000, 2), noise(2_000, 3)]);
    history.oldest = 1;
    let (mut fetcher, mut transfers) = (Fetcher::new(1), Transfers::default());
    fetcher.record_version(controller(1), Version(3), true);
    let (fetched, _) = fetch(&mut fetcher, &mut transfers, &history, Version(1));
    assert_eq!(fetched.transfer.from, Version(0));
    assert_eq!(apply(&fetched, &history.texts[0]), history.texts[2]);
}

/// Guards against a controller that lost what it reported, as after the loss of its disk, and is asked for ever.
#[test]
fn lost_version_not_asked() {
    let history = History::new(vec![noise(100, 1)]);
    let (mut fetcher, mut transfers) = (Fetcher::new(1), Transfers::default());
    fetcher.record_version(controller(1), Version(4), true);
    let request = fetcher
        .next_request(seconds(5), Version(1))
        .unwrap()
        .request;
    let answer = transfers.answer(seconds(5), &request, &history);
    assert_eq!(answer, FetchAnswer::Current);
    assert_eq!(
        fetcher.receive(seconds(5), controller(1), answer, Version(1)),
        None
    );
    assert_eq!(fetcher.next_request(seconds(5), Version(1)), None);
}

/// Guards against content that is kept for processes that are gone.
#[test]
fn unused_content_forgotten() {
    let mut history = History::new(vec![noise(300_000, 1)]);
    let mut transfers = Transfers::default();
    let request = FetchRequest {
        have: Version(0),
        transfer: None,
        offset: 0,
    };
    let FetchAnswer::Piece(first) = transfers.answer(seconds(5), &request, &history) else {
        panic!("there is a configuration");
    };
    history.texts.push(noise(300_000, 2));
    let request = FetchRequest {
        transfer: Some(first.transfer),
        offset: first.bytes.len() as u64,
        ..request
    };
    let FetchAnswer::Piece(next) = transfers.answer(seconds(9), &request, &history) else {
        panic!("there is a configuration");
    };
    assert_eq!((next.transfer.to, next.offset), (Version(2), 0));
}

quickcheck! {
    /// Pieces that are lost, sent twice, mixed up or damaged never lead to another text.
    fn faults_never_mix(choices: Vec<u8>, length: u16) -> bool {
        let texts = vec![noise(usize::from(length) * 10 + 1, 1), noise(usize::from(length) * 12 + 1, 2)];
        let history = History::new(texts);
        let older = History::new(history.texts[..1].to_vec());
        let mut fetcher = Fetcher::new(1);
        let mut transfers = [Transfers::default(), Transfers::default()];
        let now = seconds(5);
        let mut last: Option<FetchAnswer> = None;
        for choice in choices.into_iter().chain(std::iter::repeat_n(0, 40)) {
            for number in 0..2 {
                fetcher.record_version(controller(number), Version(2 - u64::from(number)), true);
            }
            let next = fetcher.next_request(now, Version(0)).unwrap();
            let old = next.controller == controller(1);
            let source = if old { &older } else { &history };
            let mut answer = transfers[usize::from(old)].answer(now, &next.request, source);
            match choice % 8 {
                1 => {
                    fetcher.record_failure(now, next.controller);
                    continue;
                }
                2 => answer = last.clone().unwrap_or(answer),
                3 => if let FetchAnswer::Piece(piece) = &mut answer {
                    if let Some(byte) = piece.bytes.first_mut() {
                        *byte ^= choice;
                    }
                },
                4 => if let FetchAnswer::Piece(piece) = &mut answer {
                    piece.offset += 1;
                },
                _ => {}
            }
            last = Some(answer.clone());
            if let Some(fetched) = fetcher.receive(now, next.controller, answer, Version(0)) {
                let text = apply(&fetched, &[]);
                return text == history.text(fetched.transfer.to)
                    && Fingerprint::new(&text) == Fingerprint::new(history.text(fetched.transfer.to));
            }
        }
        false
    }
}

//! Differences between two texts.

use quickcheck::quickcheck;
use snipemast_diff::{Diff, DiffError};

/// Returns a text of this many lines, each with a number.
fn lines(numbers: std::ops::Range<u32>) -> String {
    let line = |n: u32| {
        format!(
            "{{\"name\":\"route-{n}\",\"prefix\":\"/p{}/\"}},\n",
            n * 7_919
        )
    };
    numbers.map(line).collect()
}

fn encoded_size(diff: &Diff) -> usize {
    rmp_serde::to_vec_named(diff).unwrap().len()
}

/// Guards against a change of one line that costs as much as the text, wherever the line stands.
#[test]
fn costs_what_changed() {
    let old = lines(0..20_000);
    for changed in [0, 9_999, 19_999] {
        let line = lines(changed..changed + 1);
        let new = old.replacen(&line, "another line altogether\n", 1);
        let diff = Diff::between(old.as_bytes(), new.as_bytes());
        assert!(encoded_size(&diff) < 600, "{}", encoded_size(&diff));
        assert_eq!(diff.apply(old.as_bytes()).unwrap(), new.as_bytes());
    }
}

/// Guards against lines that are moved, removed or added in the middle and are sent again with all that follow.
#[test]
fn moved_lines_copied() {
    let (a, b, c) = (lines(0..4_000), lines(4_000..6_000), lines(6_000..9_000));
    let old = format!("{a}{b}{c}");
    for new in [
        format!("{a}{c}"),
        format!("{c}{a}{b}"),
        format!("{a}{}{b}{c}", lines(9_000..9_010)),
    ] {
        let diff = Diff::between(old.as_bytes(), new.as_bytes());
        assert!(encoded_size(&diff) < 1_500, "{}", encoded_size(&diff));
        assert_eq!(diff.apply(old.as_bytes()).unwrap(), new.as_bytes());
    }
}

/// Guards against a diff that is applied to another text than its base.
#[test]
fn other_base_refused() {
    let diff = Diff::between(b"one text", b"another text");
    assert_eq!(diff.apply(b"some text"), Err(DiffError::OtherBase));
}

quickcheck! {
    fn leads_to_new(old: Vec<u8>, new: Vec<u8>) -> bool {
        Diff::between(&old, &new).apply(&old).as_deref() == Ok(&new)
    }

    /// Texts that share parts, unlike two random ones.
    fn edits_are_undone(numbers: Vec<u8>, cut: usize, insert: String) -> bool {
        let old: String = numbers.iter().map(|n| lines(u32::from(*n)..u32::from(*n) + 2)).collect();
        let cut = if old.is_empty() { 0 } else { cut % old.len() };
        let new = format!("{}{insert}{}", &old[cut..], &old[..cut]);
        let there = Diff::between(old.as_bytes(), new.as_bytes());
        let back = Diff::between(new.as_bytes(), old.as_bytes());
        let made = there.apply(old.as_bytes());
        made.as_deref() == Ok(new.as_bytes()) && back.apply(new.as_bytes()).as_deref() == Ok(old.as_bytes())
    }

    /// A damaged diff is refused, and never leads to another text or a panic.
    fn damage_refused(old: String, new: String, at: usize, bit: u8) -> bool {
        let mut bytes = rmp_serde::to_vec_named(&Diff::between(old.as_bytes(), new.as_bytes())).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        let Ok(damaged) = rmp_serde::from_slice::<Diff>(&bytes) else {
            return true;
        };
        damaged.apply(old.as_bytes()).is_err() || damaged.apply(old.as_bytes()).as_deref() == Ok(new.as_bytes())
    }
}

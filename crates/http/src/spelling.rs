//! Misspelt names of headers.

/// In how many letters a misspelt name differs from the right one at most.
const MAX_MISSPELLING: usize = 2;

/// Whether a name is another one with a few letters added, removed or replaced.
pub(crate) fn is_misspelling(name: &[u8], right: &[u8]) -> bool {
    name.len().abs_diff(right.len()) <= MAX_MISSPELLING
        && (1..=MAX_MISSPELLING).contains(&edit_distance(name, right))
}

/// Returns how many letters have to be added, removed or replaced to turn one text into another, whatever their case.
fn edit_distance(from: &[u8], to: &[u8]) -> usize {
    let mut row: Vec<usize> = (0..=to.len()).collect();
    for (i, a) in from.iter().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(!a.eq_ignore_ascii_case(b));
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[to.len()]
}

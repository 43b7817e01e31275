//! The capacity page holds what the benches' kept figures give.

use std::path::Path;

use snipemast_benches::capacity::{table, Measured};

#[test]
fn page_is_fresh() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = std::fs::read_to_string(docs.join("CAPACITY.md")).expect("the page is there");
    let fresh = table(&Measured::read(&docs.join("figures")));
    assert!(page.contains(&fresh), "the table should read:\n{fresh}");
}

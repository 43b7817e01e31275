//! The table in the capacity page is the one made from the benches' stored figures.

use std::path::Path;

use snipemast_benches::capacity::{table, Measured};

#[test]
fn page_is_fresh() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = std::fs::read_to_string(docs.join("CAPACITY.md")).expect("the capacity page exists");
    let fresh = table(&Measured::read(&docs.join("figures")));
    assert!(page.contains(&fresh), "the table should read:\n{fresh}");
}

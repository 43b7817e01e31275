//! Prints the table of `docs/CAPACITY.md` from the figures in `docs/figures/`.

use std::path::Path;

use snipemast_benches::capacity::{table, Measured};

fn main() {
    let figures = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/figures");
    print!("{}", table(&Measured::read(&figures)));
}

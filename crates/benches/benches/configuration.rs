//! Measures what the configuration costs: patches, catch-up and traffic.

use snipemast_benches::config_costs;
use snipemast_benches::report::{BenchArgs, Figures};

fn main() {
    let args = BenchArgs::parse();
    let mut figures = Figures::new();
    config_costs::measure(&mut figures, args.quick);
    figures.print(args);
}

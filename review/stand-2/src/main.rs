//! Runs the cases of the second review: each starts the project's programs and its own stand-ins, and exits with 1 if a
//! rule was broken, 0 if it held, and 2 if the case couldn't run.

mod client;
mod departures;
mod fleet;
mod forming;
mod http;
mod place;
mod server;
mod silence;
mod writer;

use std::process::ExitCode;

use fleet::Record;

/// How a case ended.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    Unable(String),
}

/// Returns a configuration with a single route of streams.
pub fn configuration(version: u64, route: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":328,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        client::KEY
    )
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, record) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&record) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("the record can't be written: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "departures" => departures::run(&record, trouble),
        "forming" => forming::run(&record, trouble),
        "place" => place::run(&record, trouble),
        "writer" => writer::run(&record, trouble),
        "silence" => silence::run(&record, trouble),
        _ => Outcome::Unable(format!("there is no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "the rule was broken".to_owned()),
        Outcome::Unable(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    record.line(&text);
    println!("{case}, trouble {trouble}: {text}");
    ExitCode::from(code)
}

//! Stand-ins of the platform, its servers and its consumers, and what uses them: case 11, and a finding that is no case.
//!
//! Arguments: the case, a temporary folder, and the file of the record. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod caller;
mod gateway;
mod host;
mod http;
mod json;
mod record;
mod revoked_key;
mod store;
mod unread_metrics;

use std::{path::Path, process};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory, file] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE FOLDER RECORD");
        process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::start();
    let directory = Path::new(directory);
    let result = match case.as_str() {
        "revoked-key" => revoked_key::run(directory, &record, has_trouble),
        "unread-metrics" => unread_metrics::run(directory, &record),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    if let Err(error) = record.write(Path::new(file)) {
        eprintln!("the record can't be written: {error}");
        process::exit(2);
    }
    match result {
        Ok(true) => process::exit(0),
        Ok(false) => process::exit(1),
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            process::exit(2);
        }
    }
}

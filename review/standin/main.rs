//! Runs one case of the review: `lab CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held and 2 if the
//! case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod consumer;
mod crashing;
mod departures;
mod http;
mod leaving;
mod node;
mod observers;
mod record;
mod server;
mod site;
mod store;

use std::{env, io, path::PathBuf, process::ExitCode};

/// What a case found.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let found: io::Result<Verdict> = match case.as_str() {
        "crashing" => crashing::run(&folder, has_trouble),
        "leaving" => leaving::run(&folder, has_trouble),
        "observers" => observers::run(&folder, has_trouble),
        "readers" => departures::run(&folder, &departures::READERS, has_trouble),
        "return" => departures::run(&folder, &departures::RETURN, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    match found {
        Ok(Verdict { is_broken, text }) => {
            println!("{text}");
            ExitCode::from(u8::from(is_broken))
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

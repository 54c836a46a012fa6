//! `cuminctl`, the command line for operators.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use std::{
    io::{self, Write},
    process::ExitCode,
};

use clap::Parser;
use cuminward_ctl::{cli::Cli, command};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    match command::run(cli, &mut io::stdin().lock(), &mut io::stdout()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            // If standard error is closed, only the exit code reports the failure.
            let _ = writeln!(io::stderr(), "{:?}", miette::Report::new(error));
            ExitCode::from(code)
        }
    }
}

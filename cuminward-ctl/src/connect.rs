//! Makes a client from the command line's options.

use std::{env, fs, path::Path};

use cuminward_operator::client;

use crate::{cli::Global, error::Error};

/// Environment value with the operator's token.
const TOKEN: &str = "CUMINWARD_TOKEN";

/// Makes a client.
pub fn open(global: &Global) -> Result<client::Client, Error> {
    if global.endpoint.is_empty() {
        let reason = "give an address with --endpoint or CUMINWARD_ENDPOINT";
        return Err(Error::Usage(reason.to_owned()));
    }
    let authority = global.ca_file.as_deref().map(read).transpose()?;
    let options = client::OptionsBuilder::default()
        .endpoints(global.endpoint.clone())
        .token(token(global)?)
        .ca_certificates(authority)
        .build()
        .expect("endpoints and token are given");
    client::Client::new(options).map_err(|error| Error::Usage(error.to_string()))
}

fn token(global: &Global) -> Result<String, Error> {
    let text = match &global.token_file {
        Some(path) => read(path)?,
        None => env::var(TOKEN)
            .map_err(|_| Error::Usage(format!("give a token with --token-file or {TOKEN}")))?,
    };
    Ok(text.trim().to_owned())
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(Error::io(path.display().to_string()))
}

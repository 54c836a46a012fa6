//! Builds the client for the operators' interface from the command line options.

use std::{env, fs, path::Path};

use cuminward_operator::client;

use crate::{cli::Global, error::Error};

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "CUMINWARD_TOKEN";

/// Builds a client for the endpoints, the token and the CA certificates of the options.
/// Connections are opened with the first call.
///
/// # Errors
///
/// Fails if no endpoint or token is given, a file can't be read, or an endpoint or certificate is
/// invalid.
pub fn open(global: &Global) -> Result<client::Client, Error> {
    if global.endpoint.is_empty() {
        let reason = "no endpoint: pass --endpoint or set CUMINWARD_ENDPOINT";
        return Err(Error::Usage(reason.to_owned()));
    }
    let ca_certificates = global.ca_file.as_deref().map(read_file).transpose()?;
    let options = client::OptionsBuilder::default()
        .endpoints(global.endpoint.clone())
        .token(read_token(global)?)
        .ca_certificates(ca_certificates)
        .build()
        .expect("endpoints and token are set above");
    client::Client::new(options).map_err(|error| Error::Usage(error.to_string()))
}

fn read_token(global: &Global) -> Result<String, Error> {
    let text = match &global.token_file {
        Some(path) => read_file(path)?,
        None => env::var(TOKEN_VARIABLE).map_err(|_| {
            Error::Usage(format!("no token: pass --token-file or set {TOKEN_VARIABLE}"))
        })?,
    };
    Ok(text.trim().to_owned())
}

fn read_file(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(Error::io(path.display().to_string()))
}

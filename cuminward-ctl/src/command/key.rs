//! Hashes keys and tokens.

use std::io::{BufRead, Write};

use cuminward_operator::auth;

use crate::{error::Error, output};

/// Prints the hash of the first line of the input.
pub fn hash(input: &mut impl BufRead, out: &mut impl Write) -> Result<(), Error> {
    let mut key = String::new();
    input.read_line(&mut key).map_err(Error::io("standard input"))?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Error::Usage("there is no key on standard input".to_owned()));
    }
    output::line(out, auth::hash(key))
}

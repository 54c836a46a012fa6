//! `key`: hashes keys and tokens.

use std::io::{BufRead, Write};

use cuminward_operator::auth;

use crate::{error::Error, output};

/// Prints the BLAKE3 hash of the first line of the input.
///
/// # Errors
///
/// Fails if the line is empty, the input can't be read, or the output can't be written.
pub fn hash(input: &mut impl BufRead, out: &mut impl Write) -> Result<(), Error> {
    let mut key = String::new();
    input.read_line(&mut key).map_err(Error::io("standard input"))?;
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return Err(Error::Usage("the first line of standard input contains no key".to_owned()));
    }
    output::write_line(out, auth::hash(key))
}

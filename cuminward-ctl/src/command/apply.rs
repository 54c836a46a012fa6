//! `apply`: applies the declarations of a YAML file.

use std::{
    fs,
    io::{BufRead, Write},
    path::Path,
};

use crate::{
    cli::Global,
    command::change,
    connect,
    declaration::{self, Declaration},
    error::Error,
    output,
};

/// File name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// Applies the declarations of a file one after another, stops at the first failure, and prints the
/// changes that were applied.
///
/// # Errors
///
/// Fails if the file can't be read, a declaration is invalid or isn't applied, or the output can't be
/// written.
pub async fn run(
    global: &Global,
    file: &Path,
    input: &mut impl BufRead,
    out: &mut impl Write,
) -> Result<(), Error> {
    let name = file.display().to_string();
    let text = read_text(file, input).map_err(Error::io(&name))?;
    let declarations = declaration::parse(&name, &text).map_err(Error::Declaration)?;
    let client = connect::open(global)?;
    let base = global.change_id.clone().unwrap_or_else(change::generate_id);
    let mut applied = Vec::with_capacity(declarations.len());
    let mut result = Ok(());
    for (index, declaration) in declarations.into_iter().enumerate() {
        let id = format!("{base}-{index}");
        let target = describe(&declaration);
        let action = declaration.into_action();
        match change::send(&client, id, global.expected_revision, target, action).await {
            Ok(row) => applied.push(row),
            Err(error) => {
                result = Err(with_base_id(error, &base));
                break;
            }
        }
    }
    output::write_rows(out, global.output, &applied)?;
    result
}

/// Replaces the change id of a failed call by the base id, with which the whole file can be sent again.
fn with_base_id(error: Error, base: &str) -> Error {
    match error {
        Error::Call { error, .. } => Error::Call { change: Some(base.to_owned()), error },
        other => other,
    }
}

/// Reads the file, or `input` if the name is [`STANDARD_INPUT`].
fn read_text(file: &Path, input: &mut impl BufRead) -> std::io::Result<String> {
    if file != Path::new(STANDARD_INPUT) {
        return fs::read_to_string(file);
    }
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    Ok(text)
}

/// Returns the name of a declaration's target as the output shows it.
fn describe(declaration: &Declaration) -> String {
    match declaration {
        Declaration::Domain(it) => format!("domain/{}", it.name),
        Declaration::Team(it) => format!("team/{}", it.name),
        Declaration::Host(it) => format!("host/{}", it.name),
        Declaration::Plain(it) => format!("plain/{}", it.name),
        Declaration::Model(it) => format!("model/{}", it.name),
    }
}

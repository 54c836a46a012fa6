//! Applies the declarations of a file.

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

/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Applies the declarations one after the other; the first failure ends it, and what was applied before
/// is printed.
pub async fn run(
    global: &Global,
    file: &Path,
    input: &mut impl BufRead,
    out: &mut impl Write,
) -> Result<(), Error> {
    let name = file.display().to_string();
    let text = read(file, input).map_err(Error::io(&name))?;
    let declarations = declaration::parse(&name, &text).map_err(Error::Declaration)?;
    let client = connect::open(global)?;
    let base = global.change_id.clone().unwrap_or_else(change::fresh_id);
    let mut applied = Vec::with_capacity(declarations.len());
    let mut result = Ok(());
    for (index, declaration) in declarations.into_iter().enumerate() {
        let id = format!("{base}-{index}");
        let what = describe(&declaration);
        let action = declaration.into_action();
        match change::send(&client, id, global.expected_revision, what, action).await {
            Ok(row) => applied.push(row),
            Err(error) => {
                result = Err(with_base_id(error, &base));
                break;
            }
        }
    }
    output::rows(out, global.output, &applied)?;
    result
}

/// The id that resends the whole file.
fn with_base_id(error: Error, base: &str) -> Error {
    match error {
        Error::Call { error, .. } => Error::Call { change: Some(base.to_owned()), error },
        other => other,
    }
}

fn read(file: &Path, input: &mut impl BufRead) -> std::io::Result<String> {
    if file != Path::new(STANDARD_INPUT) {
        return fs::read_to_string(file);
    }
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    Ok(text)
}

fn describe(declaration: &Declaration) -> String {
    match declaration {
        Declaration::Domain(it) => format!("domain/{}", it.name),
        Declaration::Team(it) => format!("team/{}", it.name),
        Declaration::Host(it) => format!("host/{}", it.name),
        Declaration::Plain(it) => format!("plain/{}", it.name),
        Declaration::Model(it) => format!("model/{}", it.name),
    }
}

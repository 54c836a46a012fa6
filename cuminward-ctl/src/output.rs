//! Writes results as a table, JSON or YAML.

use std::io::{self, Write};

use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};

use crate::{cli::Format, error::Error};

/// Writes rows as a table or as a list in JSON or YAML.
///
/// # Errors
///
/// Fails if the rows can't be serialized or the output can't be written.
pub fn write_rows<T: Serialize + Tabled>(
    out: &mut impl Write,
    format: Format,
    rows: &[T],
) -> Result<(), Error> {
    match format {
        Format::Table => write_line(out, Table::new(rows).with(Style::blank())),
        Format::Json | Format::Yaml => write_value(out, format, &rows),
    }
}

/// Writes a value that isn't a list of rows; the table format shows the value as YAML.
///
/// # Errors
///
/// Fails if the value can't be serialized or the output can't be written.
pub fn write_value<T: Serialize>(
    out: &mut impl Write,
    format: Format,
    value: &T,
) -> Result<(), Error> {
    let failed = |error: String| Error::io("output")(io::Error::other(error));
    let text = match format {
        Format::Json => {
            serde_json::to_string_pretty(value).map_err(|error| failed(error.to_string()))
        }
        Format::Table | Format::Yaml => {
            serde_saphyr::to_string(value).map_err(|error| failed(error.to_string()))
        }
    };
    write_line(out, text?.trim_end())
}

/// Writes one line of text.
///
/// # Errors
///
/// Fails if the output can't be written.
pub fn write_line(out: &mut impl Write, text: impl std::fmt::Display) -> Result<(), Error> {
    writeln!(out, "{text}").map_err(Error::io("standard output"))
}

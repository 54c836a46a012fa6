//! Writes results as table, JSON or YAML.

use std::io::{self, Write};

use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};

use crate::{cli::Format, error::Error};

/// Writes rows.
pub fn rows<T: Serialize + Tabled>(
    out: &mut impl Write,
    format: Format,
    rows: &[T],
) -> Result<(), Error> {
    match format {
        Format::Table => line(out, Table::new(rows).with(Style::blank())),
        Format::Json | Format::Yaml => value(out, format, &rows),
    }
}

/// Writes a value without rows of its own; tables show it as YAML.
pub fn value<T: Serialize>(out: &mut impl Write, format: Format, value: &T) -> Result<(), Error> {
    let failed = |error: String| Error::io("output")(io::Error::other(error));
    let text = match format {
        Format::Json => {
            serde_json::to_string_pretty(value).map_err(|error| failed(error.to_string()))
        }
        Format::Table | Format::Yaml => {
            serde_saphyr::to_string(value).map_err(|error| failed(error.to_string()))
        }
    };
    line(out, text?.trim_end())
}

/// Writes a line.
pub fn line(out: &mut impl Write, text: impl std::fmt::Display) -> Result<(), Error> {
    writeln!(out, "{text}").map_err(Error::io("standard output"))
}

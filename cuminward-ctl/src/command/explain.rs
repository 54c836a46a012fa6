//! Tells the story of a request from log lines.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::PathBuf,
};

use cuminward_event::{explain, trace};

use crate::error::Error;

/// Writes the events of a request, and what explains them, one a line.
///
/// # Errors
///
/// A file can't be read, the output can't be written, or no line tells of the request.
pub fn run(
    request: &str,
    files: &[PathBuf],
    input: &mut impl BufRead,
    out: &mut impl Write,
) -> Result<(), Error> {
    let mut lines = Vec::new();
    for file in files {
        let name = file.display().to_string();
        let opened = File::open(file).map_err(Error::io(name.clone()))?;
        lines.extend(read(BufReader::new(opened)).map_err(Error::io(name))?);
    }
    if files.is_empty() {
        lines = read(input).map_err(Error::io("standard input"))?;
    }
    let story = explain::request_events(explain::parse_lines(lines), request);
    if story.is_empty() {
        return Err(Error::Usage(format!("no line tells of request {request}")));
    }
    out.write_all(trace::format_text(&story).as_bytes()).map_err(Error::io("standard output"))
}

fn read(source: impl BufRead) -> io::Result<Vec<String>> {
    source.lines().collect()
}

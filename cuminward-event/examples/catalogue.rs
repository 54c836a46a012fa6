//! Prints the catalogue of events as the page `docs/EVENTS.md`.

use std::io::{self, Write};

fn main() -> io::Result<()> {
    io::stdout().write_all(cuminward_event::page::markdown().as_bytes())
}

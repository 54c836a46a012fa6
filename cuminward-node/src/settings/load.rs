//! Loads and validates a settings file.

use std::path::Path;

use miette::{Diagnostic, IntoDiagnostic, LabeledSpan, NamedSource, WrapErr};

use crate::settings::{self, check, file};

/// Loads and validates a settings file.
///
/// # Errors
///
/// A report of all errors of the file, each with its line and the expected value. A file that
/// cannot be parsed has only one error reported.
pub fn run(path: &Path) -> miette::Result<settings::Settings> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("failed to read the settings file {}", path.display()))?;
    parse(&text, &path.display().to_string())
}

/// Parses and validates the text of a settings file; `name` is the file name in reports.
///
/// # Errors
///
/// A report of all errors of the text, each with its line and the expected value.
pub fn parse(text: &str, name: &str) -> miette::Result<settings::Settings> {
    let file: file::File =
        serde_saphyr::from_str(text).map_err(|error| syntax_error(&error, text, name))?;
    check::run(&file).map_err(|faults| {
        let source = NamedSource::new(name, text.to_owned()).with_language("yaml");
        miette::Report::new(Report::new(faults)).with_source_code(source)
    })
}

/// Reports a syntax error or a missing or unknown key. The parser stops at the first one.
fn syntax_error(error: &serde_saphyr::Error, text: &str, name: &str) -> miette::Report {
    let options = serde_saphyr::render_options! { source_name: Some(name) };
    serde_saphyr::miette::to_miette_report_with_options(error, text, name, options)
}

/// All invalid values of a settings file.
#[derive(Debug)]
struct Report {
    labels: Vec<LabeledSpan>,
}

impl Report {
    fn new(faults: Vec<check::Fault>) -> Report {
        let label = |it: check::Fault| {
            LabeledSpan::new(Some(format!("expected {}", it.expected)), it.offset, it.length)
        };
        Report { labels: faults.into_iter().map(label).collect() }
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the settings have {} faults", self.labels.len())
    }
}

impl std::error::Error for Report {}

impl Diagnostic for Report {
    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.labels.iter().cloned()))
    }
}

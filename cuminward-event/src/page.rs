//! Generates the documentation page of the event catalogue.

use crate::kind::{self, Entry};

/// Introduction at the top of the page.
const INTRODUCTION: &str = "# Events

Every event has a number and a name that never change. In the log it is written as
`[E1001] node-started version=0.1.0 incarnation=7`; events of a request end with `request=` and the
request's id. `cuminctl timeline` merges the events of all nodes in the order of their hybrid logical
times. This page is printed by `cargo run -p cuminward-event --example catalogue`.
";

/// Returns the page as Markdown.
pub fn markdown() -> String {
    let sections = kind::ENTRIES.iter().map(section);
    std::iter::once(String::from(INTRODUCTION)).chain(sections).collect()
}

fn section(entry: &Entry) -> String {
    let Entry { number, name, level, description, fields } = entry;
    let level = level.as_str().to_lowercase();
    let mut text = format!("\n## E{number} {name}\n\nLevel {level}. {description}\n");
    if !fields.is_empty() {
        text += "\n| field | type | meaning |\n| --- | --- | --- |\n";
    }
    for field in *fields {
        text += &format!("| `{}` | {} | {} |\n", field.name, field.kind, field.description);
    }
    text
}

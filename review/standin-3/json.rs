//! JSON values, as far as the stand-ins need them.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of a table.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(it) => it.get(name),
            _ => None,
        }
    }

    /// Returns a text field, or an empty text.
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(it)) => it.clone(),
            _ => String::new(),
        }
    }

    /// Returns a field that is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Value::Number(it)) => Some(*it as u64),
            _ => None,
        }
    }
}

/// Parses a value; `None` if the bytes are none.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(bytes, &mut at)
}

fn blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => table(bytes, at),
        b'[' => list(bytes, at),
        b'"' => Some(Value::Text(text(bytes, at)?)),
        b't' => word(bytes, at, "true", Value::Bool(true)),
        b'f' => word(bytes, at, "false", Value::Bool(false)),
        b'n' => word(bytes, at, "null", Value::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Value::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Value) -> Option<Value> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                out.push(*bytes.get(*at)?);
            }
            other => out.push(other),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(out).ok()
}

fn list(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let mut items = Vec::new();
    *at += 1;
    loop {
        blanks(bytes, at);
        match bytes.get(*at)? {
            b']' => break,
            b',' => *at += 1,
            _ => items.push(value(bytes, at)?),
        }
    }
    *at += 1;
    Some(Value::List(items))
}

fn table(bytes: &[u8], at: &mut usize) -> Option<Value> {
    let mut fields = BTreeMap::new();
    *at += 1;
    loop {
        blanks(bytes, at);
        match bytes.get(*at)? {
            b'}' => break,
            b',' => *at += 1,
            _ => {
                let name = text(bytes, at)?;
                blanks(bytes, at);
                *at += 1;
                fields.insert(name, value(bytes, at)?);
            }
        }
    }
    *at += 1;
    Some(Value::Table(fields))
}

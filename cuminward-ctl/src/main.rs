//! The command line for operators.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

fn main() {}

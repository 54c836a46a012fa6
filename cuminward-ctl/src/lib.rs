//! The command line for operators, as a library that its tests can drive.
//!
//! [`cli`] parses arguments, each module of [`command`] runs one of them, and [`output`] writes what
//! comes back.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod cli;
pub mod command;
pub mod connect;
pub mod declaration;
pub mod error;
pub mod output;
pub mod timeline;
pub mod trace;
pub mod view;

//! Implementation of `cuminctl`, the command line for operators, as a library that tests can call.
//!
//! [`cli`] parses the arguments, the modules of [`command`] run the commands, [`view`] converts the
//! results for display, and [`output`] prints them.

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

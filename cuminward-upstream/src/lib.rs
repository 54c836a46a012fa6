//! Client of model engines and plain services.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

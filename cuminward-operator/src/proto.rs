//! Messages and stubs generated from `proto/operator.proto`.

#![allow(missing_docs, unreachable_pub, clippy::all, clippy::str_to_string)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned)]

include!("generated/cuminward.operator.v1.rs");

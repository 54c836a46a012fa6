//! Integration tests of the HTTP interface for callers.

mod fake;
mod router;

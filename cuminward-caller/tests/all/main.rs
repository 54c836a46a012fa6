//! Tests of the routes towards callers.

mod fake;
mod router;

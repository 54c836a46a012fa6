//! Tests of cuminward-event.

mod kind;
mod page;
mod sink;
mod trace;

//! Tests of cuminward-event.

mod kind;
mod line;
mod page;
mod sink;
mod trace;

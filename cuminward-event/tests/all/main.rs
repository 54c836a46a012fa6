//! Tests of cuminward-event.

mod explain;
mod kind;
mod line;
mod page;
mod sink;
mod trace;

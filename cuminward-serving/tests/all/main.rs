//! Tests of the decisions.

mod attempt;
mod catalog;
mod cold;
mod crash;
mod event;
mod fixture;
mod host;
mod loss;
mod message;
mod pace;
mod placement;
mod queue;
mod replica;
mod select;
mod spread;
mod table;

//! Tests of cuminward-route.

mod admission;
mod attempt;
mod fair_queue;
mod outlier;
mod prefix;
mod quarantine;
mod route;

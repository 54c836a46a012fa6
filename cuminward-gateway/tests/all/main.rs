//! Tests of a gateway node against a fake platform on loopback sockets.

mod builds;
mod configuration;
mod copied_refusals;
mod followers;
mod former_build;
mod groups;
mod hostile_upstreams;
mod ingress;
mod leaving;
mod lifecycle;
mod limits;
mod load;
mod loans;
mod local_views;
mod pauses;
mod quarantine;
mod raw;
mod restored;
mod silence;
mod site;
mod stranded;
mod streams;
mod template;
mod unary;

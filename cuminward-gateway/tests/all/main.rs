//! Tests of a gateway node against a fake platform on loopback sockets.

mod configuration;
mod groups;
mod ingress;
mod lifecycle;
mod quarantine;
mod restored;
mod silence;
mod site;
mod stranded;
mod streams;
mod template;
mod unary;

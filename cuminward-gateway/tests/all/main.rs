//! Tests of a gateway node against a fake platform on loopback sockets.

mod builds;
mod configuration;
mod copied_refusals;
mod digest_size;
mod followers;
mod former_build;
mod groups;
mod hostile_upstreams;
mod ingress;
mod lifecycle;
mod limits;
mod loans;
mod local_views;
mod mixed_builds;
mod quarantine;
mod raw;
mod restored;
mod silence;
mod site;
mod stranded;
mod streams;
mod template;
mod unary;
mod unknown_fields;
mod version;

//! Tests of a gateway node against fakes of the platform on real sockets.

mod calls;
mod configuration;
mod groups;
mod life;
mod site;
mod streams;
mod template;

//! Stand-ins of the systems that cuminward serves, for development only.
//!
//! Each stand-in follows `docs/PROTOCOLS.md` on a loopback socket and can be made to fail, through
//! its handle or through `POST /control`. A [`world::World`] starts all of them in one process, a
//! [`view::View`] gives one node paths of its own that can be cut, and [`load::run`] sends requests
//! and checks every reply.
//!
//! ```
//! use cuminward_standin::{engine::control, world};
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let options = world::Options {
//!     domains: vec![world::Domain::new("a", "north", 4)],
//!     ..world::Options::default()
//! };
//! let world = world::World::start(options).await?;
//! world.add_node(world::node_entry("n1", "a", "127.0.0.1:9000"));
//! let view = world.view().await?;
//! println!("{} {}", view.log_address(), view.hosts_address());
//! view.cut_domain("a");
//! world.fleet().inject(&control::Fault::Kill { host: "a-f0-h1".to_owned() }).await;
//! assert_eq!(world.fleet().counters().partial_answers, 0);
//! # Ok(())
//! # }
//! ```

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod begun;
pub mod engine;
pub mod hosts;
pub mod link;
pub mod load;
pub mod log;
pub mod plain;
mod reply;
pub mod server;
pub mod view;
mod warm_up;
pub mod weights;
pub mod world;

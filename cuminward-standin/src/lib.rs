//! Stand-ins for the systems around cuminward, for development only.
//!
//! Each stand-in follows `docs/PROTOCOLS.md` on a loopback socket and can be made to fail, through
//! its handle or through `POST /control`. An [`environment::Environment`] starts all of them in one
//! process, a [`view::View`] gives one node separate network paths that can be cut, and
//! [`load::run`] sends requests and checks every reply.
//!
//! ```
//! use cuminward_standin::{engine::control, environment};
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let options = environment::Options {
//!     domains: vec![environment::Domain::new("a", "north", 4)],
//!     ..environment::Options::default()
//! };
//! let environment = environment::Environment::start(options).await?;
//! environment.add_node(environment::node_entry("n1", "a", "127.0.0.1:9000"));
//! let view = environment.start_view().await?;
//! println!("{} {}", view.log_address(), view.hosts_address());
//! view.cut_domain("a");
//! environment.fleet().inject(&control::Fault::Kill { host: "a-f0-h1".to_owned() }).await;
//! assert_eq!(environment.fleet().counters().partial_answers, 0);
//! # Ok(())
//! # }
//! ```

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod environment;
pub mod hosts;
pub mod link;
pub mod load;
pub mod log;
pub mod plain;
mod reply;
pub mod server;
mod starts;
pub mod view;
mod warm_up;
pub mod weights;

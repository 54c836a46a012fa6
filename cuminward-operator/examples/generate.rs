//! Generates `src/generated/cuminward.operator.v1.rs` from `proto/operator.proto`.
//!
//! Run `cargo run -p cuminward-operator --example generate`; an argument sets another output
//! directory.

use std::{env, error::Error, path::PathBuf};

/// Directory of this package.
const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

fn main() -> Result<(), Box<dyn Error>> {
    let package = PathBuf::from(PACKAGE);
    let out = env::args().nth(1).map_or(package.join("src/generated"), PathBuf::from);
    let proto = package.join("proto");
    let files = protox::compile(["operator.proto"], [proto])?;
    tonic_prost_build::configure().out_dir(out).btree_map(".").compile_fds(files)?;
    Ok(())
}

//! Tests that the committed generated code matches the schema.

use std::{fs, path::Path, process};

use googletest::prelude::*;

#[gtest]
fn committed_code_is_current() -> Result<()> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::temp_dir().join(format!("cuminward-operator-{}", process::id()));
    fs::create_dir_all(&out)?;
    let files = protox::compile(["operator.proto"], [package.join("proto")])?;
    tonic_prost_build::configure().out_dir(&out).btree_map(".").compile_fds(files)?;
    let name = "cuminward.operator.v1.rs";
    let generated = fs::read_to_string(out.join(name))?;
    let committed = fs::read_to_string(package.join("src/generated").join(name))?;
    fs::remove_dir_all(&out)?;
    expect_true!(
        generated == committed,
        "run `cargo run -p cuminward-operator --example generate`"
    );
    Ok(())
}

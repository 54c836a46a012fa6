//! The name of the build.

use std::{collections::BTreeSet, fs, path::Path};

use cuminward_gateway::build;
use googletest::prelude::*;

const WORKSPACE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/..");

/// Returns the directory of a package of the workspace.
fn directory(package: &str) -> &str {
    if package == "cuminward-adapter" { "platform" } else { package }
}

/// Adds a package and those of the workspace on which it depends.
fn add_dependencies(found: &mut BTreeSet<String>, package: &str) {
    if !found.insert(package.to_owned()) {
        return;
    }
    let manifest = Path::new(WORKSPACE).join(directory(package)).join("Cargo.toml");
    let manifest = fs::read_to_string(manifest).expect("the package has a manifest");
    let tables = manifest.split("\n[").filter(|it| it.starts_with("dependencies]"));
    for line in tables.flat_map(str::lines).filter(|it| it.starts_with("cuminward-")) {
        let name = line.split(['.', ' ']).next().unwrap_or_default();
        add_dependencies(found, name);
    }
}

/// Guards against builds of different sources with the same name.
#[gtest]
fn the_build_is_named_after_all_sources() -> Result<()> {
    expect_that!(build::VERSION, matches_regex(r"\d+\.\d+\.\d+\+[0-9a-f]{8}"));
    expect_that!(build::VERSION, starts_with(env!("CARGO_PKG_VERSION")));
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/build.rs");
    let script = fs::read_to_string(script).or_fail()?;
    let mut packages = BTreeSet::new();
    add_dependencies(&mut packages, "cuminward-gateway");
    expect_that!(packages.len(), ge(3));
    for package in packages {
        let source = format!("\"{}/src\"", directory(&package));
        expect_that!(script.contains(&source), eq(true), "{source}");
    }
    Ok(())
}

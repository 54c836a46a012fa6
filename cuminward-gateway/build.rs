//! Names the build: the version of the package and a hash of the sources of the node.
//!
//! The hash needs no repository, so that a checkout, a worktree and an archive of the same commit make the same build, and a
//! change of files that aren't part of the node makes none.

use std::{
    env, fs, io,
    path::{Path, PathBuf},
};

use xxhash_rust::xxh3::Xxh3;

/// Files and directories of the workspace that make up the node.
const SOURCES: [&str; 10] = [
    "Cargo.lock",
    "Cargo.toml",
    "cuminward-core/src",
    "cuminward-derive/src",
    "cuminward-event/src",
    "cuminward-gateway/build.rs",
    "cuminward-gateway/src",
    "cuminward-serving/src",
    "cuminward-upstream/src",
    "platform/src",
];

/// Suffix of the names of source files.
const SOURCE_EXTENSIONS: [&str; 3] = ["rs", "toml", "lock"];

fn main() {
    let package = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").unwrap_or_default());
    let workspace = package.parent().unwrap_or(&package);
    let version = env::var("CARGO_PKG_VERSION").unwrap_or_default();
    let build = match hash_sources(workspace) {
        Ok(hash) => format!("{version}+{hash:08x}"),
        Err(error) => {
            println!("cargo::warning=the build has only the version of the package: {error}");
            version
        }
    };
    println!("cargo::rustc-env=CUMINWARD_BUILD={build}");
}

/// Returns a hash of the paths and contents of all sources, and has the script run again when they change.
///
/// # Errors
///
/// Fails if a source can't be read, as in a package without its workspace.
fn hash_sources(workspace: &Path) -> io::Result<u32> {
    let mut hasher = Xxh3::new();
    for path in SOURCES.map(|it| workspace.join(it)).iter().filter(|it| it.exists()) {
        println!("cargo::rerun-if-changed={}", path.display());
    }
    for source in SOURCES {
        hash(&mut hasher, workspace, Path::new(source))?;
    }
    Ok(hasher.digest() as u32)
}

/// Adds a file, or the source files of a directory in the order of their names, to a hash.
fn hash(hasher: &mut Xxh3, workspace: &Path, source: &Path) -> io::Result<()> {
    let path = workspace.join(source);
    if fs::metadata(&path)?.is_dir() {
        let entries: io::Result<Vec<_>> = fs::read_dir(&path)?.collect();
        let mut names: Vec<_> = entries?.iter().map(fs::DirEntry::file_name).collect();
        names.sort();
        return names.iter().try_for_each(|it| hash(hasher, workspace, &source.join(it)));
    }
    let extension = source.extension().unwrap_or_default();
    if SOURCE_EXTENSIONS.iter().any(|it| extension == *it) {
        let content = fs::read(&path)?;
        hasher.update(source.to_string_lossy().as_bytes());
        hasher.update(&(content.len() as u64).to_le_bytes());
        hasher.update(&content);
    }
    Ok(())
}

//! Builds the library that lets system calls of the program fail.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Builds the library once, and returns its path.
pub fn library() -> PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY
        .get_or_init(|| {
            let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faults.c");
            let name = format!("faults-{}.so", std::process::id());
            let library = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
            let status = Command::new("cc")
                .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
                .arg(&library)
                .arg(source)
                .arg("-ldl")
                .status();
            assert!(status.expect("the C compiler starts").success());
            library
        })
        .clone()
}

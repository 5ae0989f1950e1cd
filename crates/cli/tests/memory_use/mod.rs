//! Reads how much memory a process needs.

use std::process::Child;

pub const BYTES_PER_MB: usize = 1_000_000;

/// Returns the memory that the program has allocated, without its own pages.
pub fn allocated_bytes(program: &Child) -> usize {
    let process = program.id();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kibibytes.expect("a number") * 1_024
}

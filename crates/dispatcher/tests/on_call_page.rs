//! Checks that the messages which docs/on-call.md quotes exist in the sources, so that a message
//! and the page change together.

use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Commands in the column of messages, which staff type.
const COMMANDS: [&str; 1] = ["roll status"];

/// Returns whether a word of a quoted message is a placeholder for a value.
fn is_placeholder(word: &str) -> bool {
    let word = word.trim_end_matches([',', ':']);
    let number = !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_digit());
    let letter = word.len() == 1 && word.bytes().all(|byte| byte.is_ascii_uppercase());
    number || letter || ["…", "ADDRESS", "FILE:line:column", "part"].contains(&word)
}

/// Returns the code quotes in the first column of the tables.
fn quoted(page: &str) -> Vec<String> {
    let cells = page
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(" | ").next());
    cells
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .filter(|quoted| !COMMANDS.contains(quoted))
        .map(String::from)
        .collect()
}

/// Returns the fixed parts of a message, in order.
fn fixed_parts(message: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    for word in message.split_inclusive(' ') {
        if is_placeholder(word.trim_end()) {
            parts.push(String::new());
        } else if let Some(part) = parts.last_mut() {
            part.push_str(word);
        }
    }
    let parts = parts.into_iter().map(|part| part.trim().to_string());
    parts.filter(|part| part.len() > 1).collect()
}

fn collect_files(directory: &Path, extension: &str, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_files(&path, extension, files);
        } else if path.extension().is_some_and(|found| found == extension) {
            files.push(path);
        }
    }
}

/// Returns the string literals of all packages, one for each line, and the names in the schema of
/// `corkspan.v1`.
fn literals() -> Vec<String> {
    let mut sources = Vec::new();
    for package in std::fs::read_dir(repository().join("crates")).expect("packages") {
        let source = package.expect("an entry").path().join("src");
        if source.is_dir() {
            collect_files(&source, "rs", &mut sources);
        }
    }
    let mut schemas = Vec::new();
    collect_files(
        &repository().join("crates/api/proto"),
        "proto",
        &mut schemas,
    );
    let mut literals = Vec::new();
    for path in sources {
        let text = std::fs::read_to_string(path).expect("text");
        let mut joined = text.split("\\\n").map(str::trim_start);
        let mut unwrapped = joined.next().unwrap_or_default().to_string();
        joined.for_each(|rest| unwrapped.push_str(rest));
        let lines = unwrapped.lines().map(str::trim);
        literals.extend(
            lines
                .filter(|line| !line.starts_with("//"))
                .filter_map(|line| Some(line.split_once('"')?.1.rsplit_once('"')?.0.to_string())),
        );
    }
    for path in schemas {
        let text = std::fs::read_to_string(path).expect("text");
        let lines = text.lines().map(str::trim);
        literals.extend(lines.filter_map(|line| Some(line.split_once(" = ")?.0.to_string())));
    }
    literals
}

/// Returns whether one literal contains all fixed parts of the message, in order.
fn is_in(literals: &[String], message: &str) -> bool {
    let parts = fixed_parts(message);
    literals.iter().any(|literal| {
        let mut rest = literal.as_str();
        parts.iter().all(|part| match rest.split_once(part) {
            Some((_, after)) => {
                rest = after;
                true
            }
            None => false,
        })
    })
}

/// As [`is_in`], and the context and the cause of a message may also come from two literals, as in
/// `halted: {cause}`.
fn is_in_with_cause(literals: &[String], message: &str) -> bool {
    is_in(literals, message)
        || message.split_once(": ").is_some_and(|(context, cause)| {
            is_in(literals, &format!("{context}: ")) && is_in(literals, cause)
        })
}

#[test]
fn each_message_that_the_on_call_page_quotes_stands_in_the_sources() {
    let page = std::fs::read_to_string(repository().join("docs/on-call.md")).expect("the page");
    let (messages, literals) = (quoted(&page), literals());
    assert!(
        messages.len() >= 20 && literals.len() > 1000,
        "page and sources are read: {} messages, {} literals",
        messages.len(),
        literals.len()
    );
    let missing: Vec<&String> = messages
        .iter()
        .filter(|message| !is_in_with_cause(&literals, message))
        .collect();
    assert!(missing.is_empty(), "not in the sources: {missing:#?}");
}

#[test]
fn a_message_that_no_source_contains_is_detected() {
    let literals = literals();
    let messages = [
        "the discovery service can't be reached",
        "node N answers at this address",
        "rejected: rollout N … is committed",
        "halted: N copies of V failed at dispatcher D, M not ready in time",
    ];
    for message in messages {
        assert!(is_in_with_cause(&literals, message), "{message}");
        let changed = message
            .replacen("at", "near", 1)
            .replacen("is committed", "is proposed", 1);
        let changed = changed
            .replacen("answers", "is", 1)
            .replacen("be reached", "be found", 1);
        assert!(!is_in_with_cause(&literals, &changed), "{changed}");
    }
}

//! Runs the adapter as the simulator does, on recorded input, and compares its answers and its
//! errors about malformed input with the recorded ones.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ADAPTER: &str = env!("CARGO_BIN_EXE_corkspan-simulator-adapter");
const CONVERSATION: &str = include_str!("data/conversation.in");
const ANSWERS: &str = include_str!("data/conversation.out");
/// Inputs, each followed by the expected error after `=> `.
const MALFORMED: &str = include_str!("data/malformed.txt");

fn run(input: &[u8]) -> Output {
    let mut adapter = Command::new(ADAPTER)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = adapter.stdin.take().unwrap();
    let input = input.to_vec();
    let writer = std::thread::spawn(move || {
        // Ignores write errors: after an error in the input the adapter stops reading.
        let _ = stdin.write_all(&input);
    });
    let output = adapter.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

fn error_message(output: &Output) -> &str {
    let text = std::str::from_utf8(&output.stderr).unwrap();
    let (program, error_message) = text.split_once(": ").unwrap();
    assert!(ADAPTER.ends_with(program), "{text}");
    error_message
}

#[test]
fn answers_a_recorded_conversation_byte_for_byte() {
    let output = run(CONVERSATION.as_bytes());
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
    assert!(output.status.success());
    let answers = std::str::from_utf8(&output.stdout).unwrap();
    for (number, (answer, recorded)) in std::iter::zip(answers.lines(), ANSWERS.lines()).enumerate()
    {
        assert_eq!(answer, recorded, "line {} of the answers", number + 1);
    }
    assert!(answers == ANSWERS, "answers of another length");
}

#[test]
fn answers_up_to_the_cut_where_input_ends_in_the_middle_of_a_batch() {
    let half = &CONVERSATION[..CONVERSATION.len() / 2];
    let half = &half[..half.rfind("\nEND\n").unwrap() + 1];
    let output = run(half.as_bytes());
    assert!(!output.status.success());
    let line = half.lines().count() + 1;
    let expected = format!("line {line}: the input ended in the middle of a batch\n");
    assert_eq!(error_message(&output), expected);
    let answers = std::str::from_utf8(&output.stdout).unwrap();
    let batches = half.matches("\nEND\n").count();
    assert_eq!(answers.matches("END\tturn=").count(), batches);
    assert!(ANSWERS.starts_with(answers));
}

#[test]
fn malformed_input_is_rejected_with_the_recorded_error() {
    let mut input = String::new();
    let mut cases = 0;
    for line in MALFORMED.lines() {
        let Some(expected) = line.strip_prefix("=> ") else {
            input.push_str(line);
            input.push('\n');
            continue;
        };
        let output = run(input.as_bytes());
        assert_eq!(output.status.code(), Some(1), "{input}");
        assert_eq!(error_message(&output), format!("{expected}\n"), "{input}");
        input.clear();
        cases += 1;
    }
    assert_eq!(cases, 69);
}

#[test]
fn text_that_is_not_utf8_is_rejected_with_its_line() {
    let output = run(b"TICK\tt-us=1\tturn=1\nSELECT\tdispatcher=\xff\n");
    assert_eq!(output.status.code(), Some(1));
    let expected = "line 2: text: invalid utf-8 sequence of 1 bytes from index 18\n";
    assert_eq!(error_message(&output), expected);
}

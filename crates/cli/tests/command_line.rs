//! Checks that the released command line is still accepted: `data/accepted.txt` holds valid command
//! lines, `data/refused.txt` invalid ones, and `data/arguments.txt` every command and argument with
//! its default and its choices. Commands and arguments may be added.

use clap::{Arg, Command};
use std::collections::BTreeSet;

fn parse(line: &str) -> Result<(), clap::error::ErrorKind> {
    let arguments = std::iter::once("corkspan").chain(line.split_whitespace());
    corkspan_cli::command()
        .try_get_matches_from(arguments)
        .map(drop)
        .map_err(|error| error.kind())
}

#[test]
fn recorded_lines_are_still_accepted() {
    for line in include_str!("data/accepted.txt").lines() {
        match parse(line) {
            Ok(()) | Err(clap::error::ErrorKind::DisplayHelp) => {}
            Err(error) => panic!("{line}: {error}"),
        }
    }
}

#[test]
fn recorded_invalid_lines_are_still_rejected() {
    for line in include_str!("data/refused.txt").lines() {
        assert!(parse(line).is_err(), "{line}");
    }
}

fn describe(arg: &Arg) -> String {
    let name = match arg.get_long() {
        Some(long) => format!("--{long}"),
        None => format!("argument {}", arg.get_index().expect("positional")),
    };
    let defaults = arg.get_default_values().iter();
    let defaults: Vec<_> = defaults.map(|value| value.to_string_lossy()).collect();
    let choices = arg.get_possible_values();
    let choices: Vec<&str> = choices.iter().map(|value| value.get_name()).collect();
    let required = if arg.is_required_set() {
        " required"
    } else {
        ""
    };
    format!(
        "{name} {:?}{required} default {defaults:?} choices {choices:?}",
        arg.get_action()
    )
}

/// Adds a line for each command and for each of its arguments.
fn arguments(command: &Command, path: &str, lines: &mut BTreeSet<String>) {
    lines.insert(path.to_string());
    let described = command.get_arguments().map(describe);
    lines.extend(described.map(|argument| format!("{path} {argument}")));
    for inner in command.get_subcommands() {
        arguments(inner, &format!("{path} {}", inner.get_name()), lines);
    }
}

#[test]
fn every_recorded_command_and_argument_is_there_with_its_default_and_choices() {
    let mut command = corkspan_cli::command();
    command.build();
    let mut lines = BTreeSet::new();
    arguments(&command, "corkspan", &mut lines);
    for recorded in include_str!("data/arguments.txt").lines() {
        assert!(lines.contains(recorded), "{recorded}, of {lines:#?}");
    }
}

/// Checks that parsed arguments reach the command. `schema` is the only command that needs no
/// dispatcher.
#[test]
fn schema_prints_the_schema_of_files_or_of_versions() {
    for (arguments, definition) in [
        (&["schema"][..], "#/$defs/file"),
        (&["schema", "--version-only"], "#/$defs/version"),
    ] {
        let run = std::process::Command::new(env!("CARGO_BIN_EXE_corkspan"))
            .args(arguments)
            .output()
            .expect("started");
        assert!(run.status.success());
        let text = String::from_utf8(run.stdout).expect("text");
        let schema: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(schema["$ref"], definition);
        let pretty = serde_json::to_string_pretty(&schema).expect("JSON");
        assert_eq!(
            text,
            pretty + "\n",
            "pretty-printed, with a trailing newline"
        );
    }
}

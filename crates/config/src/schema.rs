//! The one schema of the file and of streamed versions, and the check against it. All that is wrong
//! is told at once, each with its place.

use crate::plain::Document;
use crate::sexp::{Diagnostic, Diagnostics};
use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::{Map, Value, json};
use std::sync::OnceLock;

/// Which of the two a text is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// A dispatcher's own file: what it shares with the others and what is its own.
    File,
    /// A streamed version: what all dispatchers share.
    Version,
}

/// Faults told of one text at the most.
const MAX_DIAGNOSTICS: usize = 50;

fn parts() -> &'static Value {
    static PARTS: OnceLock<Value> = OnceLock::new();
    let read =
        || serde_json::from_str(include_str!("../schema/parts.json")).expect("the schema is JSON");
    PARTS.get_or_init(read)
}

/// The names of the parts that all dispatchers share, in the order of the alphabet.
pub fn shared_part_names() -> impl Iterator<Item = &'static str> {
    parts()["shared"]["properties"]
        .as_object()
        .into_iter()
        .flat_map(Map::keys)
        .map(String::as_str)
}

/// The names of the parts that are each dispatcher's own.
pub fn local_part_names() -> impl Iterator<Item = &'static str> {
    parts()["local"]["properties"]
        .as_object()
        .into_iter()
        .flat_map(Map::keys)
        .map(String::as_str)
}

/// The schema as JSON Schema, draft 2020-12. A form whose rest are forms is an object, any other an
/// array.
pub fn json_schema(of: DocumentKind) -> Value {
    let form = |groups: &[&str]| {
        let mut properties = Map::new();
        let mut required = Vec::new();
        for group in groups {
            let group = &parts()[*group];
            let own = group["properties"].as_object().into_iter().flatten();
            properties.extend(own.map(|(name, value)| (name.clone(), value.clone())));
            required.extend(group["required"].as_array().into_iter().flatten().cloned());
        }
        json!({ "type": "object", "properties": properties, "required": required, "additionalProperties": false })
    };
    let mut definitions = parts()["$defs"].clone();
    definitions["file"] = form(&["local", "shared"]);
    definitions["version"] = form(&["shared"]);
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "corkspan deployment",
        "$ref": match of { DocumentKind::File => "#/$defs/file", DocumentKind::Version => "#/$defs/version" },
        "$defs": definitions,
    })
}

fn validator(of: DocumentKind) -> &'static Validator {
    static BOTH: OnceLock<[Validator; 2]> = OnceLock::new();
    let both = BOTH.get_or_init(|| {
        [DocumentKind::File, DocumentKind::Version].map(|of| {
            jsonschema::validator_for(&json_schema(of)).expect("the schema is one of draft 2020-12")
        })
    });
    match of {
        DocumentKind::File => &both[0],
        DocumentKind::Version => &both[1],
    }
}

/// Checks a text against the schema, and what it names against what it defines.
pub fn check(of: DocumentKind, file: &str, text: &str) -> Result<Document, Diagnostics> {
    let mut plain = Document::read(file, text)?;
    if plain.name != "deployment" {
        let why = format!("`(deployment …)` must stand here, not `({} …)`", plain.name);
        return Err(plain.diagnostic("", why).into());
    }
    let mut faults = std::mem::take(&mut plain.diagnostics);
    for error in validator(of).iter_errors(&plain.data) {
        push_diagnostics(
            &plain,
            error.instance_path().as_str(),
            error.kind(),
            &error.to_string(),
            &mut faults,
        );
        if faults.len() > MAX_DIAGNOSTICS {
            break;
        }
    }
    references(&plain, &mut faults);
    match faults.is_empty() {
        true => Ok(plain),
        false => Err(Diagnostics::limited(faults, MAX_DIAGNOSTICS)),
    }
}

fn push_diagnostics(
    plain: &Document,
    pointer: &str,
    kind: &Kind,
    words: &str,
    faults: &mut Vec<Diagnostic>,
) {
    let within = |name: &str| format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
    match kind {
        Kind::AdditionalProperties { unexpected } => {
            // A part of the file in a version is a mistake of its own.
            let why = |name: &str| {
                match local_part_names().any(|own| own == name) && pointer.is_empty() {
                true => {
                    "is each dispatcher's own, and stands in its file alone; a change needs a restart".into()
                }
                false => String::from("unknown here"),
            }
            };
            faults.extend(
                unexpected
                    .iter()
                    .take(MAX_DIAGNOSTICS)
                    .map(|name| plain.diagnostic(&within(name), why(name))),
            );
        }
        Kind::Required { property } => {
            let name = property.as_str().unwrap_or_default();
            faults.push(plain.diagnostic(pointer, format!("lacks `({name} …)`")));
        }
        Kind::FalseSchema => {
            faults.push(
                plain.diagnostic(pointer, "stands only beside `(repeat deduplicated)`".into()),
            );
        }
        Kind::Enum { options } => {
            let known: Vec<String> = options
                .as_array()
                .into_iter()
                .flatten()
                .map(symbol_text)
                .collect();
            faults.push(plain.diagnostic(pointer, format!("must be one of: {}", known.join(", "))));
        }
        Kind::Minimum { limit } => {
            faults.push(plain.diagnostic(pointer, format!("must be {limit} or more")))
        }
        Kind::ExclusiveMinimum { limit } => {
            faults.push(plain.diagnostic(pointer, format!("must be above {limit}")));
        }
        Kind::Maximum { limit } => {
            faults.push(plain.diagnostic(pointer, format!("must be {limit} at the most")))
        }
        Kind::Type { .. } => {
            let wanted = match plain.data.pointer(pointer) {
                Some(Value::Object(_)) => "must be followed by its values",
                Some(Value::Array(_)) => "must be followed by forms",
                Some(Value::String(_)) => "must be a number, or #t or #f, not a word",
                _ => "is of the wrong kind",
            };
            faults.push(plain.diagnostic(pointer, wanted.into()));
        }
        Kind::AdditionalItems { .. } | Kind::MaxItems { .. } => {
            faults.push(plain.diagnostic(pointer, "has too many values".into()));
        }
        Kind::MinItems { .. } => {
            faults.push(plain.diagnostic(pointer, "has too few values".into()))
        }
        Kind::UniqueItems => faults.push(plain.diagnostic(pointer, "names one twice".into())),
        Kind::Pattern { .. } => {
            faults.push(plain.diagnostic(pointer, "is no address with a port".into()))
        }
        _ => faults.push(plain.diagnostic(pointer, words.chars().take(200).collect())),
    }
}

fn symbol_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}

/// What one part names and another defines; a schema can't say it.
fn references(plain: &Document, faults: &mut Vec<Diagnostic>) {
    let data = &plain.data;
    let list = |names: &[Value]| names.iter().map(symbol_text).collect::<Vec<_>>().join(", ");
    if let (Some(hall), Some(halls)) = (data.pointer("/hall/0"), data["halls"].as_array())
        && !halls.contains(hall)
    {
        faults.push(plain.diagnostic(
            "/hall/0",
            format!("`{}` is none of: {}", symbol_text(hall), list(halls)),
        ));
    }
    let whole = |pointer| data.pointer(pointer).and_then(Value::as_u64);
    if let (Some(number), Some(schedulers)) = (whole("/number/0"), whole("/schedulers/0"))
        && number >= schedulers
    {
        let why = format!("{number} is beyond the {schedulers} schedulers, counted from 0");
        faults.push(plain.diagnostic("/number/0", why));
    }
    let (Some(tracks), Some(kinds)) = (data["tracks"].as_object(), data["kinds"].as_object())
    else {
        return;
    };
    for (name, track) in tracks {
        let Some(kind) = track.pointer("/kind/0").and_then(Value::as_str) else {
            continue;
        };
        if !kinds.contains_key(kind) {
            let known: Vec<&str> = kinds.keys().map(String::as_str).take(20).collect();
            let pointer = format!(
                "/tracks/{}/kind/0",
                name.replace('~', "~0").replace('/', "~1")
            );
            faults.push(plain.diagnostic(
                &pointer,
                format!("`{kind}` is none of: {}", known.join(", ")),
            ));
        }
    }
}

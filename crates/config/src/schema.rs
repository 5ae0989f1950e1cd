//! The JSON Schema of the deployment file and of streamed versions, and validation against it.
//! Validation reports all errors at once, each with its position.

use crate::document::Document;
use crate::sexp::{Diagnostic, Diagnostics};
use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind as Kind;
use serde_json::{Map, Value, json};
use std::sync::OnceLock;

/// The kind of document that a text is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// A dispatcher's file, with shared and local parts.
    File,
    /// A streamed version, with shared parts only.
    Version,
}

/// The maximum number of diagnostics reported for one text.
const MAX_DIAGNOSTICS: usize = 50;

fn parts() -> &'static Value {
    static PARTS: OnceLock<Value> = OnceLock::new();
    let read =
        || serde_json::from_str(include_str!("../schema/parts.json")).expect("the schema is JSON");
    PARTS.get_or_init(read)
}

/// Returns the names of the parts that all dispatchers share, in alphabetical order.
pub fn shared_part_names() -> impl Iterator<Item = &'static str> {
    parts()["shared"]["properties"]
        .as_object()
        .into_iter()
        .flat_map(Map::keys)
        .map(String::as_str)
}

/// Returns the names of the parts that are local to each dispatcher.
pub fn local_part_names() -> impl Iterator<Item = &'static str> {
    parts()["local"]["properties"]
        .as_object()
        .into_iter()
        .flat_map(Map::keys)
        .map(String::as_str)
}

/// Returns the schema as JSON Schema, draft 2020-12. A form that holds forms is an object, any
/// other form an array of its values.
pub fn json_schema(kind: DocumentKind) -> Value {
    let form = |groups: &[&str]| {
        let mut properties = Map::new();
        let mut required = Vec::new();
        for group in groups {
            let group = &parts()[*group];
            let group_properties = group["properties"].as_object().into_iter().flatten();
            properties.extend(group_properties.map(|(name, value)| (name.clone(), value.clone())));
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
        "$ref": match kind { DocumentKind::File => "#/$defs/file", DocumentKind::Version => "#/$defs/version" },
        "$defs": definitions,
    })
}

fn validator(kind: DocumentKind) -> &'static Validator {
    static VALIDATORS: OnceLock<[Validator; 2]> = OnceLock::new();
    let validators = VALIDATORS.get_or_init(|| {
        [DocumentKind::File, DocumentKind::Version].map(|kind| {
            jsonschema::validator_for(&json_schema(kind))
                .expect("the schema is one of draft 2020-12")
        })
    });
    match kind {
        DocumentKind::File => &validators[0],
        DocumentKind::Version => &validators[1],
    }
}

/// Checks a text against the schema, and checks that the names it refers to are defined in it.
///
/// # Errors
///
/// Returns all errors, up to 50 diagnostics.
pub fn check(kind: DocumentKind, file: &str, text: &str) -> Result<Document, Diagnostics> {
    let mut document = Document::read(file, text)?;
    if document.name != "deployment" {
        let message = format!(
            "`(deployment …)` is expected here, not `({} …)`",
            document.name
        );
        return Err(document.diagnostic("", message).into());
    }
    let mut diagnostics = std::mem::take(&mut document.diagnostics);
    for error in validator(kind).iter_errors(&document.data) {
        push_diagnostics(
            &document,
            error.instance_path().as_str(),
            error.kind(),
            &error.to_string(),
            &mut diagnostics,
        );
        if diagnostics.len() > MAX_DIAGNOSTICS {
            break;
        }
    }
    check_references(&document, &mut diagnostics);
    match diagnostics.is_empty() {
        true => Ok(document),
        false => Err(Diagnostics::limited(diagnostics, MAX_DIAGNOSTICS)),
    }
}

fn push_diagnostics(
    document: &Document,
    pointer: &str,
    kind: &Kind,
    error: &str,
    diagnostics: &mut Vec<Diagnostic>,
) {
    match kind {
        Kind::AdditionalProperties { unexpected } => {
            let unexpected = unexpected.iter().take(MAX_DIAGNOSTICS);
            diagnostics.extend(unexpected.map(|name| unexpected_part(document, pointer, name)));
        }
        _ => {
            diagnostics.push(document.diagnostic(pointer, message(document, pointer, kind, error)))
        }
    }
}

/// Reports a part that the schema does not define. A local part in a streamed version has a message
/// of its own.
fn unexpected_part(document: &Document, pointer: &str, name: &str) -> Diagnostic {
    let message = if pointer.is_empty() && local_part_names().any(|own| own == name) {
        "is each dispatcher's own, and is allowed in its file only; a change needs a restart"
    } else {
        "unknown here"
    };
    let inner = format!("{pointer}/{}", escape_pointer(name));
    document.diagnostic(&inner, message.into())
}

fn message(document: &Document, pointer: &str, kind: &Kind, error: &str) -> String {
    match kind {
        Kind::Required { property } => {
            format!("lacks `({} …)`", property.as_str().unwrap_or_default())
        }
        Kind::FalseSchema => "is only valid with `(repeat deduplicated)`".into(),
        Kind::Enum { options } => {
            let options = options.as_array().into_iter().flatten();
            let known: Vec<String> = options.map(symbol_text).collect();
            format!("must be one of: {}", known.join(", "))
        }
        Kind::Minimum { limit } => format!("must be {limit} or more"),
        Kind::ExclusiveMinimum { limit } => format!("must be above {limit}"),
        Kind::Maximum { limit } => format!("must be {limit} or less"),
        Kind::Type { .. } => match document.data.pointer(pointer) {
            Some(Value::Object(_)) => "must be followed by its values",
            Some(Value::Array(_)) => "must be followed by forms",
            Some(Value::String(_)) => "must be a number, #t or #f, not a symbol or string",
            _ => "has the wrong type",
        }
        .into(),
        Kind::AdditionalItems { .. } | Kind::MaxItems { .. } => "has too many values".into(),
        Kind::MinItems { .. } => "has too few values".into(),
        Kind::UniqueItems => "must not repeat a value".into(),
        Kind::Pattern { .. } => "is not an address with a port".into(),
        _ => error.chars().take(200).collect(),
    }
}

/// Escapes a name for use as a segment of a JSON pointer.
pub(crate) fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn symbol_text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}

/// Checks references from one part to names that another defines; a schema cannot express these.
fn check_references(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    let data = &document.data;
    let list = |names: &[Value]| names.iter().map(symbol_text).collect::<Vec<_>>().join(", ");
    if let (Some(zone), Some(zones)) = (data.pointer("/hall/0"), data["halls"].as_array())
        && !zones.contains(zone)
    {
        diagnostics.push(document.diagnostic(
            "/hall/0",
            format!("`{}` is not one of: {}", symbol_text(zone), list(zones)),
        ));
    }
    let integer = |pointer| data.pointer(pointer).and_then(Value::as_u64);
    if let (Some(number), Some(schedulers)) = (integer("/number/0"), integer("/schedulers/0"))
        && number >= schedulers
    {
        let message =
            format!("{number} is out of range for {schedulers} schedulers, numbered from 0");
        diagnostics.push(document.diagnostic("/number/0", message));
    }
    let (Some(service_classes), Some(machine_types)) =
        (data["tracks"].as_object(), data["kinds"].as_object())
    else {
        return;
    };
    for (name, service_class) in service_classes {
        let Some(machine_type) = service_class.pointer("/kind/0").and_then(Value::as_str) else {
            continue;
        };
        if !machine_types.contains_key(machine_type) {
            let known: Vec<&str> = machine_types.keys().map(String::as_str).take(20).collect();
            let pointer = format!("/tracks/{}/kind/0", escape_pointer(name));
            diagnostics.push(document.diagnostic(
                &pointer,
                format!("`{machine_type}` is not one of: {}", known.join(", ")),
            ));
        }
    }
}

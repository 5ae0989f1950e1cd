//! Converts a text into JSON data for validation against the schema: a form that holds forms
//! becomes an object, any other form an array of its values. Records the position of each value,
//! so that validation errors can be reported with positions.

use crate::schema::escape_pointer;
use crate::sexp::{Diagnostic, datum, on_large_stack};
use lexpr::datum::Ref;
use serde_json::{Map, Number, Value};
use std::collections::BTreeMap;

/// The maximum nesting depth of forms.
const MAX_DEPTH: usize = 16;

/// One form as JSON data, with the positions of its values.
pub struct Document {
    /// The outermost form's name.
    pub name: String,
    /// The data that follows the name.
    pub data: Value,
    /// Errors that were found without the schema.
    pub diagnostics: Vec<Diagnostic>,
    /// The line and column of each value, by JSON pointer.
    positions: BTreeMap<String, (usize, usize)>,
    file: String,
}

impl Document {
    /// Parses a text that holds one form.
    pub fn read(file: &str, text: &str) -> Result<Document, Diagnostic> {
        on_large_stack(file, || Document::parse_on_current_stack(file, text))
    }

    fn parse_on_current_stack(file: &str, text: &str) -> Result<Document, Diagnostic> {
        let datum = datum(file, text)?;
        let mut document = Document {
            name: String::new(),
            data: Value::Null,
            diagnostics: Vec::new(),
            positions: BTreeMap::new(),
            file: file.into(),
        };
        let Some((name, rest)) = form(datum.as_ref()) else {
            let message = "a form `(name …)` is expected here".into();
            return Err(Diagnostic::of_file(file, message));
        };
        document.name = name.into();
        document.data = document.value(datum.as_ref(), &rest, String::new(), 0);
        Ok(document)
    }

    /// Creates a diagnostic for the value at this JSON pointer. If there is no such value, the
    /// position is that of the innermost form that encloses it.
    pub fn diagnostic(&self, pointer: &str, message: String) -> Diagnostic {
        let mut at = pointer;
        let (line, column) = loop {
            match (self.positions.get(at), at.rfind('/')) {
                (Some(&position), _) => break position,
                (None, Some(cut)) => at = &at[..cut],
                (None, None) => break (1, 1),
            }
        };
        let path = pointer
            .trim_start_matches('/')
            .replace("~1", "/")
            .replace("~0", "~");
        // A path ends with the form's name, without the index of the value.
        let path = match path.rsplit_once('/') {
            Some((form, index)) if index.bytes().all(|byte| byte.is_ascii_digit()) => {
                form.to_string()
            }
            _ => path,
        };
        let path = if path.is_empty() {
            self.name.clone()
        } else {
            path
        };
        Diagnostic {
            file: self.file.clone(),
            line,
            column,
            path,
            message,
        }
    }

    fn value(&mut self, at: Ref, rest: &[Ref], pointer: String, depth: usize) -> Value {
        self.record_position(&pointer, at);
        if depth > MAX_DEPTH {
            self.diagnostics
                .push(self.diagnostic(&pointer, "nested too deeply".into()));
            return Value::Null;
        }
        let mut forms = Map::new();
        let mut atoms = Vec::new();
        for (index, &each) in rest.iter().enumerate() {
            match form(each) {
                Some((name, own)) => {
                    let inner = format!("{pointer}/{}", escape_pointer(name));
                    if forms.contains_key(name) {
                        self.push_repeated(&inner, each);
                        continue;
                    }
                    let value = self.value(each, &own, inner, depth + 1);
                    forms.insert(name.into(), value);
                }
                None => {
                    let inner = format!("{pointer}/{index}");
                    self.record_position(&inner, each);
                    match atom(each) {
                        Some(value) => atoms.push(value),
                        None => self.push_unknown_value(&inner, each),
                    }
                }
            }
        }
        if !forms.is_empty() && !atoms.is_empty() {
            self.diagnostics
                .push(self.diagnostic(&pointer, "holds both forms and bare values".into()));
        }
        if atoms.is_empty() {
            Value::Object(forms)
        } else {
            Value::Array(atoms)
        }
    }

    fn record_position(&mut self, pointer: &str, at: Ref) {
        self.positions.insert(pointer.into(), position(at));
    }

    fn push_repeated(&mut self, pointer: &str, at: Ref) {
        let (line, column) = position(at);
        let diagnostic = self.diagnostic(pointer, "is given twice".into());
        self.diagnostics.push(Diagnostic {
            line,
            column,
            ..diagnostic
        });
    }

    fn push_unknown_value(&mut self, pointer: &str, at: Ref) {
        let message = format!("`{}` is not a symbol, string, number or form", brief(at));
        self.diagnostics.push(self.diagnostic(pointer, message));
    }
}

/// Returns the line and column of a value's start, both counted from 1.
fn position(at: Ref) -> (usize, usize) {
    let start = at.span().start();
    (start.line(), start.column().max(1))
}

fn brief(at: Ref) -> String {
    let text = at.value().to_string();
    text.chars().take(40).collect()
}

fn form<'a>(at: Ref<'a>) -> Option<(&'a str, Vec<Ref<'a>>)> {
    let mut elements = at.list_iter()?;
    let name = elements.next()?.value().as_symbol()?;
    Some((name, elements.collect()))
}

fn atom(at: Ref) -> Option<Value> {
    let value = at.value();
    if let Some(text) = value.as_symbol().or(value.as_str()) {
        return Some(text.into());
    }
    if let Some(boolean) = value.as_bool() {
        return Some(boolean.into());
    }
    let integer = value
        .as_u64()
        .map(Number::from)
        .or(value.as_i64().map(Number::from));
    integer
        .or_else(|| value.as_f64().and_then(Number::from_f64))
        .map(Value::Number)
}

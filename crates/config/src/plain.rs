//! A text as plain data, as the schema sees it: a form whose rest are forms is an object, any other
//! an array of its atoms. Each value's place in the text is kept, so that what the schema finds can
//! be told with it.

use crate::sexp::{Diagnostic, datum, on_large_stack};
use lexpr::datum::Ref;
use serde_json::{Map, Number, Value};
use std::collections::BTreeMap;

/// Forms within forms at the most; what is deeper is no deployment.
const MAX_DEPTH: usize = 16;
pub struct Document {
    pub name: String,
    pub data: Value,
    pub diagnostics: Vec<Diagnostic>,
    /// Line and column by JSON pointer.
    positions: BTreeMap<String, (usize, usize)>,
    file: String,
}

impl Document {
    /// Reads a text that holds one form.
    pub fn read(file: &str, text: &str) -> Result<Document, Diagnostic> {
        on_large_stack(file, || Document::read_here(file, text))
    }

    fn read_here(file: &str, text: &str) -> Result<Document, Diagnostic> {
        let datum = datum(file, text)?;
        let mut plain = Document {
            name: String::new(),
            data: Value::Null,
            diagnostics: Vec::new(),
            positions: BTreeMap::new(),
            file: file.into(),
        };
        let Some((name, rest)) = form(datum.as_ref()) else {
            let why = "a form `(name …)` must stand here".into();
            return Err(Diagnostic {
                file: file.into(),
                line: 1,
                column: 1,
                path: "file".into(),
                message: why,
            });
        };
        plain.name = name.into();
        plain.data = plain.value(datum.as_ref(), &rest, String::new(), 0);
        Ok(plain)
    }

    /// Something wrong with the value at this pointer, or with what is around it where there is
    /// none.
    pub fn diagnostic(&self, pointer: &str, why: String) -> Diagnostic {
        let mut at = pointer;
        let (line, column) = loop {
            match (self.positions.get(at), at.rfind('/')) {
                (Some(&place), _) => break place,
                (None, Some(cut)) => at = &at[..cut],
                (None, None) => break (1, 1),
            }
        };
        let part = pointer
            .trim_start_matches('/')
            .replace("~1", "/")
            .replace("~0", "~");
        // Of a form with one value it goes without saying which.
        let part = match part.rsplit_once('/') {
            Some((form, index)) if index.bytes().all(|byte| byte.is_ascii_digit()) => {
                form.to_string()
            }
            _ => part,
        };
        let part = if part.is_empty() {
            self.name.clone()
        } else {
            part
        };
        Diagnostic {
            file: self.file.clone(),
            line,
            column,
            path: part,
            message: why,
        }
    }

    fn value(&mut self, at: Ref, rest: &[Ref], pointer: String, depth: usize) -> Value {
        let start = at.span().start();
        self.positions
            .insert(pointer.clone(), (start.line(), start.column().max(1)));
        if depth > MAX_DEPTH {
            self.diagnostics
                .push(self.diagnostic(&pointer, "nested too deep".into()));
            return Value::Null;
        }
        let mut forms = Map::new();
        let mut atoms = Vec::new();
        for (index, &each) in rest.iter().enumerate() {
            match form(each) {
                Some((name, own)) => {
                    let within =
                        format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"));
                    if forms.contains_key(name) {
                        let start = each.span().start();
                        let fault = self.diagnostic(&within, "stands here twice".into());
                        let (line, column) = (start.line(), start.column().max(1));
                        self.diagnostics.push(Diagnostic {
                            line,
                            column,
                            ..fault
                        });
                        continue;
                    }
                    let value = self.value(each, &own, within, depth + 1);
                    forms.insert(name.into(), value);
                }
                None => {
                    let within = format!("{pointer}/{index}");
                    let start = each.span().start();
                    self.positions
                        .insert(within.clone(), (start.line(), start.column().max(1)));
                    match atom(each) {
                        Some(value) => atoms.push(value),
                        None => {
                            let why = format!("`{}` is no word, text, number or form", brief(each));
                            self.diagnostics.push(self.diagnostic(&within, why));
                        }
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
    if let Some(truth) = value.as_bool() {
        return Some(truth.into());
    }
    let whole = value
        .as_u64()
        .map(Number::from)
        .or(value.as_i64().map(Number::from));
    whole
        .or_else(|| value.as_f64().and_then(Number::from_f64))
        .map(Value::Number)
}

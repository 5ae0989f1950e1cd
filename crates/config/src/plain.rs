//! A text as plain data, as the schema sees it: a form whose rest are forms is an object, any other
//! an array of its atoms. Each value's place in the text is kept, so that what the schema finds can
//! be told with it.

use crate::sexp::{Fault, datum, with_room};
use lexpr::datum::Ref;
use serde_json::{Map, Number, Value};
use std::collections::BTreeMap;

/// Forms within forms at the most; what is deeper is no deployment.
const DEEPEST: usize = 16;
pub struct Plain {
    pub name: String,
    pub data: Value,
    pub faults: Vec<Fault>,
    /// Line and column by JSON pointer.
    places: BTreeMap<String, (usize, usize)>,
    file: String,
}

impl Plain {
    /// Reads a text that holds one form.
    pub fn read(file: &str, text: &str) -> Result<Plain, Fault> {
        with_room(file, || Plain::read_here(file, text))
    }

    fn read_here(file: &str, text: &str) -> Result<Plain, Fault> {
        let datum = datum(file, text)?;
        let mut plain = Plain {
            name: String::new(),
            data: Value::Null,
            faults: Vec::new(),
            places: BTreeMap::new(),
            file: file.into(),
        };
        let Some((name, rest)) = form(datum.as_ref()) else {
            let why = "a form `(name …)` must stand here".into();
            return Err(Fault {
                file: file.into(),
                line: 1,
                column: 1,
                part: "file".into(),
                why,
            });
        };
        plain.name = name.into();
        plain.data = plain.value(datum.as_ref(), &rest, String::new(), 0);
        Ok(plain)
    }

    /// Something wrong with the value at this pointer, or with what is around it where there is
    /// none.
    pub fn fault(&self, pointer: &str, why: String) -> Fault {
        let mut at = pointer;
        let (line, column) = loop {
            match (self.places.get(at), at.rfind('/')) {
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
        Fault {
            file: self.file.clone(),
            line,
            column,
            part,
            why,
        }
    }

    fn value(&mut self, at: Ref, rest: &[Ref], pointer: String, depth: usize) -> Value {
        let start = at.span().start();
        self.places
            .insert(pointer.clone(), (start.line(), start.column().max(1)));
        if depth > DEEPEST {
            self.faults
                .push(self.fault(&pointer, "nested too deep".into()));
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
                        let fault = self.fault(&within, "stands here twice".into());
                        let (line, column) = (start.line(), start.column().max(1));
                        self.faults.push(Fault {
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
                    self.places
                        .insert(within.clone(), (start.line(), start.column().max(1)));
                    match atom(each) {
                        Some(value) => atoms.push(value),
                        None => {
                            let why = format!("`{}` is no word, text, number or form", brief(each));
                            self.faults.push(self.fault(&within, why));
                        }
                    }
                }
            }
        }
        if !forms.is_empty() && !atoms.is_empty() {
            self.faults
                .push(self.fault(&pointer, "holds both forms and bare values".into()));
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

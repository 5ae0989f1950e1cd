//! Forms and typed access to their values. Errors are [`Diagnostic`]s at the value's position.

use super::diagnostic::Diagnostic;
use corkspan_scheduler::interface::{Resources, Ticks};
use lexpr::datum::Ref;
use std::collections::BTreeSet;

/// One form: its name and its values.
#[derive(Clone)]
pub struct Form<'a> {
    file: &'a str,
    datum: Ref<'a>,
    /// The names of the enclosing forms and of this one, joined by `/`.
    path: String,
    /// The form's name, which is its first element.
    pub name: &'a str,
    values: Vec<Ref<'a>>,
}

impl<'a> Form<'a> {
    pub(super) fn read(
        file: &'a str,
        enclosing_path: &str,
        at: Ref<'a>,
    ) -> Result<Self, Diagnostic> {
        let elements: Vec<Ref<'a>> = at.list_iter().map(Iterator::collect).unwrap_or_default();
        let name = elements.first().and_then(|first| first.value().as_symbol());
        let Some(name) = name else {
            return Err(form_diagnostic(
                file,
                at,
                enclosing_path,
                "a form `(name …)` is expected here".into(),
            ));
        };
        Ok(Form {
            file,
            datum: at,
            path: name.into(),
            name,
            values: elements[1..].to_vec(),
        })
    }

    /// Creates a diagnostic at the start of this form.
    pub fn diagnostic(&self, message: impl Into<String>) -> Diagnostic {
        form_diagnostic(self.file, self.datum, &self.path, message.into())
    }

    /// Returns the inner forms. Each name must be one of `known` and occur once.
    pub fn parts(&self, known: &[&str]) -> Result<Parts<'a>, Diagnostic> {
        let parts = self.forms(known)?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.diagnostic("is given twice"));
        }
        Ok(Parts {
            form: self.clone(),
            parts,
        })
    }

    /// Returns the inner forms. Each name must be one of `known`, and may occur repeatedly.
    pub fn forms(&self, known: &[&str]) -> Result<Vec<Form<'a>>, Diagnostic> {
        let parts = self.inner_forms()?;
        match parts.iter().find(|part| !known.contains(&part.name)) {
            Some(part) => {
                Err(part.diagnostic(format!("unknown; known here: {}", known.join(", "))))
            }
            None => Ok(parts),
        }
    }

    /// Returns the inner forms, whose names the file chooses. Each name must occur once.
    pub fn user_named_forms(&self) -> Result<Vec<Form<'a>>, Diagnostic> {
        let parts = self.inner_forms()?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.diagnostic(format!("`{}` is given twice", part.name)));
        }
        Ok(parts)
    }

    fn inner_forms(&self) -> Result<Vec<Form<'a>>, Diagnostic> {
        let part = |&at: &Ref<'a>| {
            let mut part = Form::read(self.file, &self.path, at)?;
            part.path = format!("{}/{}", self.path, part.name);
            Ok(part)
        };
        self.values.iter().map(part).collect()
    }

    fn single_value(&self, what: &str) -> Result<Ref<'a>, Diagnostic> {
        match self.values[..] {
            [only] => Ok(only),
            _ => Err(self.diagnostic(format!("{what} must follow, and nothing else"))),
        }
    }

    fn diagnostic_at(&self, at: Ref, what: &str) -> Diagnostic {
        form_diagnostic(
            self.file,
            at,
            &self.path,
            format!("{what} is expected here, not `{}`", at.value()),
        )
    }

    /// Returns the string of `(name "text")`.
    pub fn string(&self) -> Result<&'a str, Diagnostic> {
        let at = self.single_value("a string in quotes")?;
        at.value()
            .as_str()
            .ok_or_else(|| self.diagnostic_at(at, "a string in quotes"))
    }

    /// Returns the symbol of `(name symbol)`.
    pub fn symbol(&self) -> Result<&'a str, Diagnostic> {
        let at = self.single_value("a symbol")?;
        at.value()
            .as_symbol()
            .ok_or_else(|| self.diagnostic_at(at, "a symbol"))
    }

    /// Returns the symbols of `(name symbol symbol …)`, which must be distinct.
    pub fn symbols(&self) -> Result<Vec<&'a str>, Diagnostic> {
        let (mut symbols, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let symbol = at
                .value()
                .as_symbol()
                .ok_or_else(|| self.diagnostic_at(at, "a symbol"))?;
            if !seen.insert(symbol) {
                return Err(form_diagnostic(
                    self.file,
                    at,
                    &self.path,
                    format!("`{symbol}` is given twice"),
                ));
            }
            symbols.push(symbol);
        }
        Ok(symbols)
    }

    /// Returns the index in `choices` of the symbol of `(name symbol)`.
    pub fn choice(&self, choices: &[impl AsRef<str>]) -> Result<usize, Diagnostic> {
        let symbol = self.symbol()?;
        choices
            .iter()
            .position(|known| known.as_ref() == symbol)
            .ok_or_else(|| {
                let known: Vec<&str> = choices.iter().map(AsRef::as_ref).collect();
                self.diagnostic(format!("`{symbol}` is not one of: {}", known.join(", ")))
            })
    }

    /// Returns the value of `(name #t)` or `(name #f)`.
    pub fn boolean(&self) -> Result<bool, Diagnostic> {
        let at = self.single_value("#t or #f")?;
        at.value()
            .as_bool()
            .ok_or_else(|| self.diagnostic_at(at, "#t or #f"))
    }

    /// Returns the number of `(name 1.5)`, which must be finite and not below 0.
    pub fn non_negative(&self) -> Result<f64, Diagnostic> {
        let at = self.single_value("a number, 0 or more")?;
        self.non_negative_at(at)
    }

    fn non_negative_at(&self, at: Ref) -> Result<f64, Diagnostic> {
        let value = at
            .value()
            .as_f64()
            .filter(|value| value.is_finite() && *value >= 0.0);
        value.ok_or_else(|| self.diagnostic_at(at, "a number, 0 or more"))
    }

    /// Returns the number of `(name 1.5)`, which must be finite and above 0.
    pub fn positive(&self) -> Result<f64, Diagnostic> {
        match self.non_negative()? {
            value if value > 0.0 => Ok(value),
            _ => Err(self.diagnostic("must be above 0")),
        }
    }

    /// Returns the integer of `(name 3)`, which must be from `min` to `max`.
    pub fn integer(&self, min: u64, max: u64) -> Result<u64, Diagnostic> {
        let what = format!("a whole number from {min} to {max}");
        let at = self.single_value(&what)?;
        let value = at
            .value()
            .as_u64()
            .filter(|value| (min..=max).contains(value));
        value.ok_or_else(|| self.diagnostic_at(at, &what))
    }

    /// Returns the integers of `(name 3 5 8)`, which must be distinct and at most `max`.
    pub fn integers(&self, max: u64) -> Result<Vec<u64>, Diagnostic> {
        let what = format!("a whole number from 0 to {max}");
        let (mut integers, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let value = at.value().as_u64().filter(|value| *value <= max);
            let value = value.ok_or_else(|| self.diagnostic_at(at, &what))?;
            if !seen.insert(value) {
                return Err(form_diagnostic(
                    self.file,
                    at,
                    &self.path,
                    format!("{value} is given twice"),
                ));
            }
            integers.push(value);
        }
        Ok(integers)
    }

    /// Returns the strings of `(name "text" "text" …)`, which must be distinct. Each is paired with
    /// the diagnostic to report if the caller rejects it.
    pub fn strings(&self) -> Result<Vec<(&'a str, Diagnostic)>, Diagnostic> {
        let (mut strings, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let text = at
                .value()
                .as_str()
                .ok_or_else(|| self.diagnostic_at(at, "a string in quotes"))?;
            let diagnostic =
                |why: &str| form_diagnostic(self.file, at, &self.path, format!("`{text}` {why}"));
            if !seen.insert(text) {
                return Err(diagnostic("is given twice"));
            }
            strings.push((text, diagnostic("is invalid")));
        }
        Ok(strings)
    }

    /// Formats the form on one line, without comments.
    pub fn to_text(&self) -> String {
        self.datum.value().to_string()
    }

    /// Returns the time of `(name 600 ms)`, `(name 14 s)` or `(name 2 min)` in ticks of 0.1 ms,
    /// rounded down. The time must be at most a year.
    pub fn time(&self) -> Result<Ticks, Diagnostic> {
        let [number, unit] = self.values[..] else {
            return Err(self.diagnostic("a number and its unit (ms, s or min) must follow"));
        };
        let ticks = match unit.value().as_symbol() {
            Some("ms") => 10.0,
            Some("s") => 10_000.0,
            Some("min") => 600_000.0,
            _ => return Err(self.diagnostic_at(unit, "ms, s or min")),
        };
        let value = self.non_negative_at(number)? * ticks;
        if value > 315_360_000_000.0 {
            return Err(self.diagnostic_at(number, "a time of at most a year"));
        }
        Ok(value as Ticks)
    }

    /// Returns the resources of `(name (cores 2) (memory 4))`.
    pub fn cores_and_memory(&self) -> Result<Resources, Diagnostic> {
        let parts = self.parts(&["cores", "memory"])?;
        Ok(Resources {
            cores: parts.required("cores")?.positive()?,
            memory: parts.required("memory")?.positive()?,
        })
    }
}

/// The inner forms of one form, with distinct names.
pub struct Parts<'a> {
    form: Form<'a>,
    parts: Vec<Form<'a>>,
}

impl<'a> Parts<'a> {
    /// Returns the form with this name.
    ///
    /// # Errors
    ///
    /// Fails if there is no such form.
    pub fn required(&self, name: &str) -> Result<&Form<'a>, Diagnostic> {
        self.get(name)
            .ok_or_else(|| self.form.diagnostic(format!("lacks `({name} …)`")))
    }

    /// Returns the form with this name, if there is one.
    pub fn get(&self, name: &str) -> Option<&Form<'a>> {
        self.parts.iter().find(|part| part.name == name)
    }

    /// Returns the value that `read` gives for the form with this name, or `default` if there is no
    /// such form.
    pub fn get_or<T>(
        &self,
        name: &str,
        default: T,
        read: impl FnOnce(&Form<'a>) -> Result<T, Diagnostic>,
    ) -> Result<T, Diagnostic> {
        self.get(name).map_or(Ok(default), read)
    }
}

fn form_diagnostic(file: &str, at: Ref, path: &str, message: String) -> Diagnostic {
    let start = at.span().start();
    Diagnostic {
        file: file.into(),
        line: start.line(),
        column: start.column().max(1),
        path: path.into(),
        message,
    }
}

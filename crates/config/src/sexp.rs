//! Files of S-expressions, read form by form, so that whatever is wrong is told with its place.
//!
//! A form is a list whose first element is its name: `(cold (lasts 14 s) (offers 29))`. `;` starts
//! a comment.

use corkspan_scheduler::interface::Ticks;
use lexpr::datum::Ref;
use std::collections::BTreeSet;
use std::path::Path;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {path}: {message}")]
pub struct Diagnostic {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub path: String,
    pub message: String,
}

/// All that is wrong with a text, or as much of it as is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    pub reported: Vec<Diagnostic>,
    /// There are more.
    pub truncated: bool,
}

impl Diagnostics {
    /// In the order of their places, so many at the most.
    pub fn limited(mut faults: Vec<Diagnostic>, most: usize) -> Self {
        faults.sort_by(|a, b| {
            (a.line, a.column, &a.path, &a.message).cmp(&(b.line, b.column, &b.path, &b.message))
        });
        faults.dedup();
        let more = faults.len() > most;
        faults.truncate(most);
        Diagnostics {
            reported: faults,
            truncated: more,
        }
    }
}

impl From<Diagnostic> for Diagnostics {
    fn from(fault: Diagnostic) -> Self {
        Diagnostics {
            reported: vec![fault],
            truncated: false,
        }
    }
}

impl std::fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (index, fault) in self.reported.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        if self.truncated {
            write!(f, "\nand more")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// The largest file that is read.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// Reads a file's text; one that is missing, too large or not UTF-8 is a fault at its start.
pub fn load(path: &Path) -> Result<String, Diagnostic> {
    let fault = |why: String| Diagnostic {
        file: path.display().to_string(),
        line: 1,
        column: 1,
        path: "file".into(),
        message: why,
    };
    let size = std::fs::metadata(path)
        .map_err(|why| fault(why.to_string()))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(fault(format!("{size} bytes; {MAX_FILE_BYTES} is the most")));
    }
    let bytes = std::fs::read(path).map_err(|why| fault(why.to_string()))?;
    String::from_utf8(bytes).map_err(|why| fault(why.to_string()))
}

/// Values in one text at the most.
const MAX_VALUES: usize = 40_000;

/// Room for as many values as may be, unoptimised too.
const STACK_BYTES: usize = 64 << 20;

/// Runs what holds a datum. Lists are chains that the library takes apart by recursion: long ones
/// need more stack than a thread usually has, whoever calls.
pub(crate) fn on_large_stack<T: Send>(
    file: &str,
    call: impl FnOnce() -> Result<T, Diagnostic> + Send,
) -> Result<T, Diagnostic> {
    let fault = |why: String| Diagnostic {
        file: file.into(),
        line: 1,
        column: 1,
        path: "file".into(),
        message: why,
    };
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn_scoped(scope, call);
        let joined = thread
            .map_err(|why| fault(format!("no thread to read it: {why}")))?
            .join();
        joined.unwrap_or_else(|_| Err(fault("the reader broke on it".into())))
    })
}

/// Parses a text of one datum, within [`on_large_stack`]. More values than may be are turned down
/// unread. What stands in texts and comments counts too.
pub(crate) fn datum(file: &str, text: &str) -> Result<lexpr::Datum, Diagnostic> {
    let fault = |line, column, why: String| Diagnostic {
        file: file.into(),
        line,
        column,
        path: "file".into(),
        message: why,
    };
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(fault(
            1,
            1,
            format!("{} bytes; {MAX_FILE_BYTES} is the most", text.len()),
        ));
    }
    let (mut values, mut within) = (0, false);
    for byte in text.bytes() {
        let ends = byte.is_ascii_whitespace() || b"()[]{}\"'`,;|#".contains(&byte);
        values += usize::from(ends && !byte.is_ascii_whitespace()) + usize::from(!ends && !within);
        within = !ends;
    }
    // Of a form both ends were counted.
    if values > 2 * MAX_VALUES {
        return Err(fault(1, 1, format!("more than {MAX_VALUES} values")));
    }
    // From a reader: over a text in memory the library counts lines anew for each value, and 4 MB
    // take hours. It has looked at a value's first byte where it tells its place: so columns
    // come counted from 1.
    lexpr::datum::from_reader(text.as_bytes()).map_err(|why| {
        let place = why.location();
        let (line, column) = place.map_or((1, 1), |place| (place.line(), place.column().max(1)));
        fault(line, column, why.to_string())
    })
}

/// Reads a text that holds exactly one form of this name, and hands it to `use_it`.
pub fn with_form<T: Send>(
    file: &str,
    text: &str,
    name: &str,
    use_it: impl FnOnce(&Form) -> Result<T, Diagnostic> + Send,
) -> Result<T, Diagnostic> {
    on_large_stack(file, || read_form(file, text, name, use_it))
}

fn read_form<T>(
    file: &str,
    text: &str,
    name: &str,
    use_it: impl FnOnce(&Form) -> Result<T, Diagnostic>,
) -> Result<T, Diagnostic> {
    let datum = datum(file, text)?;
    let form = Form::read(file, name, datum.as_ref())?;
    if form.name != name {
        return Err(form.diagnostic(format!(
            "`({name} …)` must stand here, not `({} …)`",
            form.name
        )));
    }
    use_it(&form)
}

/// One form: its name and what follows it.
#[derive(Clone)]
pub struct Form<'a> {
    file: &'a str,
    datum: Ref<'a>,
    /// The names of the forms around it and its own, as messages give them.
    path: String,
    pub name: &'a str,
    values: Vec<Ref<'a>>,
}

impl<'a> Form<'a> {
    fn read(file: &'a str, around: &str, at: Ref<'a>) -> Result<Self, Diagnostic> {
        let elements: Vec<Ref<'a>> = at.list_iter().map(Iterator::collect).unwrap_or_default();
        let name = elements.first().and_then(|first| first.value().as_symbol());
        let Some(name) = name else {
            return Err(form_diagnostic(
                file,
                at,
                around,
                "a form `(name …)` must stand here".into(),
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

    /// A fault at the start of this form.
    pub fn diagnostic(&self, why: impl Into<String>) -> Diagnostic {
        form_diagnostic(self.file, self.datum, &self.path, why.into())
    }

    /// The forms within, each of a name that is known here and none twice.
    pub fn parts(&self, known: &[&str]) -> Result<Parts<'a>, Diagnostic> {
        let parts = self.forms(known)?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.diagnostic("stands here twice"));
        }
        Ok(Parts {
            form: self.clone(),
            parts,
        })
    }

    /// The forms within, of names known here, each as often as it likes.
    pub fn forms(&self, known: &[&str]) -> Result<Vec<Form<'a>>, Diagnostic> {
        let parts = self.inner_forms()?;
        match parts.iter().find(|part| !known.contains(&part.name)) {
            Some(part) => {
                Err(part.diagnostic(format!("unknown; known here: {}", known.join(", "))))
            }
            None => Ok(parts),
        }
    }

    /// The forms within, whose names are names that the file gives, none twice.
    pub fn user_named_forms(&self) -> Result<Vec<Form<'a>>, Diagnostic> {
        let parts = self.inner_forms()?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.diagnostic(format!("a second `{}`", part.name)));
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
            format!("{what} must stand here, not `{}`", at.value()),
        )
    }

    /// `(name "text")`
    pub fn string(&self) -> Result<&'a str, Diagnostic> {
        let at = self.single_value("a text in quotes")?;
        at.value()
            .as_str()
            .ok_or_else(|| self.diagnostic_at(at, "a text in quotes"))
    }

    /// `(name word)`
    pub fn symbol(&self) -> Result<&'a str, Diagnostic> {
        let at = self.single_value("a word")?;
        at.value()
            .as_symbol()
            .ok_or_else(|| self.diagnostic_at(at, "a word"))
    }

    /// `(name word word …)`, none twice.
    pub fn symbols(&self) -> Result<Vec<&'a str>, Diagnostic> {
        let (mut words, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let word = at
                .value()
                .as_symbol()
                .ok_or_else(|| self.diagnostic_at(at, "a word"))?;
            if !seen.insert(word) {
                return Err(form_diagnostic(
                    self.file,
                    at,
                    &self.path,
                    format!("a second `{word}`"),
                ));
            }
            words.push(word);
        }
        Ok(words)
    }

    /// `(name word)`, one of those given, as its index.
    pub fn choice(&self, words: &[impl AsRef<str>]) -> Result<usize, Diagnostic> {
        let word = self.symbol()?;
        words
            .iter()
            .position(|known| known.as_ref() == word)
            .ok_or_else(|| {
                let known: Vec<&str> = words.iter().map(AsRef::as_ref).collect();
                self.diagnostic(format!("`{word}` is none of: {}", known.join(", ")))
            })
    }

    /// `(name #t)` or `(name #f)`
    pub fn boolean(&self) -> Result<bool, Diagnostic> {
        let at = self.single_value("#t or #f")?;
        at.value()
            .as_bool()
            .ok_or_else(|| self.diagnostic_at(at, "#t or #f"))
    }

    /// `(name 1.5)`: finite and not below 0.
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

    /// `(name 1.5)`: finite and above 0.
    pub fn positive(&self) -> Result<f64, Diagnostic> {
        match self.non_negative()? {
            value if value > 0.0 => Ok(value),
            _ => Err(self.diagnostic("must be above 0")),
        }
    }

    /// `(name 3)`: a whole number within these bounds.
    pub fn integer(&self, least: u64, most: u64) -> Result<u64, Diagnostic> {
        let what = format!("a whole number from {least} to {most}");
        let at = self.single_value(&what)?;
        let value = at
            .value()
            .as_u64()
            .filter(|value| (least..=most).contains(value));
        value.ok_or_else(|| self.diagnostic_at(at, &what))
    }

    /// `(name 3 5 8)`: whole numbers up to this, none twice.
    pub fn integers(&self, most: u64) -> Result<Vec<u64>, Diagnostic> {
        let what = format!("a whole number from 0 to {most}");
        let (mut wholes, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let value = at.value().as_u64().filter(|value| *value <= most);
            let value = value.ok_or_else(|| self.diagnostic_at(at, &what))?;
            if !seen.insert(value) {
                return Err(form_diagnostic(
                    self.file,
                    at,
                    &self.path,
                    format!("a second {value}"),
                ));
            }
            wholes.push(value);
        }
        Ok(wholes)
    }

    /// `(name "text" "text" …)`, none twice.
    pub fn strings(&self) -> Result<Vec<(&'a str, Diagnostic)>, Diagnostic> {
        let (mut texts, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.values {
            let text = at
                .value()
                .as_str()
                .ok_or_else(|| self.diagnostic_at(at, "a text in quotes"))?;
            let fault =
                |why: &str| form_diagnostic(self.file, at, &self.path, format!("`{text}` {why}"));
            if !seen.insert(text) {
                return Err(fault("stands here twice"));
            }
            texts.push((text, fault("is none")));
        }
        Ok(texts)
    }

    /// The form as it would be written without comments, on one line.
    pub fn to_text(&self) -> String {
        self.datum.value().to_string()
    }

    /// `(name 600 ms)`, `(name 14 s)` or `(name 2 min)`: whole tenths of a millisecond, rounded
    /// down, a year at the most.
    pub fn time(&self) -> Result<Ticks, Diagnostic> {
        let [number, unit] = self.values[..] else {
            return Err(self.diagnostic("a number and its unit (ms, s or min) must follow"));
        };
        let tenths = match unit.value().as_symbol() {
            Some("ms") => 10.0,
            Some("s") => 10_000.0,
            Some("min") => 600_000.0,
            _ => return Err(self.diagnostic_at(unit, "ms, s or min")),
        };
        let value = self.non_negative_at(number)? * tenths;
        if value > 315_360_000_000.0 {
            return Err(self.diagnostic_at(number, "a time of a year at the most"));
        }
        Ok(value as Ticks)
    }

    /// `(name (cores 2) (memory 4))`
    pub fn cores_and_memory(&self) -> Result<corkspan_scheduler::interface::Resources, Diagnostic> {
        let parts = self.parts(&["cores", "memory"])?;
        Ok(corkspan_scheduler::interface::Resources {
            cores: parts.required("cores")?.positive()?,
            memory: parts.required("memory")?.positive()?,
        })
    }
}

/// The forms within one, each at most once.
pub struct Parts<'a> {
    form: Form<'a>,
    parts: Vec<Form<'a>>,
}

impl<'a> Parts<'a> {
    pub fn required(&self, name: &str) -> Result<&Form<'a>, Diagnostic> {
        self.get(name)
            .ok_or_else(|| self.form.diagnostic(format!("lacks `({name} …)`")))
    }

    pub fn get(&self, name: &str) -> Option<&Form<'a>> {
        self.parts.iter().find(|part| part.name == name)
    }

    /// What the part says, or this where there is none.
    pub fn get_or<T>(
        &self,
        name: &str,
        absent: T,
        read: impl FnOnce(&Form<'a>) -> Result<T, Diagnostic>,
    ) -> Result<T, Diagnostic> {
        self.get(name).map_or(Ok(absent), read)
    }
}

fn form_diagnostic(file: &str, at: Ref, part: &str, why: String) -> Diagnostic {
    let start = at.span().start();
    Diagnostic {
        file: file.into(),
        line: start.line(),
        column: start.column().max(1),
        path: part.into(),
        message: why,
    }
}

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
#[error("{file}:{line}:{column}: {part}: {why}")]
pub struct Fault {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub part: String,
    pub why: String,
}

/// All that is wrong with a text, or as much of it as is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    pub told: Vec<Fault>,
    /// There are more.
    pub more: bool,
}

impl Faults {
    /// In the order of their places, so many at the most.
    pub fn of(mut faults: Vec<Fault>, most: usize) -> Self {
        faults.sort_by(|a, b| {
            (a.line, a.column, &a.part, &a.why).cmp(&(b.line, b.column, &b.part, &b.why))
        });
        faults.dedup();
        let more = faults.len() > most;
        faults.truncate(most);
        Faults { told: faults, more }
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Faults {
            told: vec![fault],
            more: false,
        }
    }
}

impl std::fmt::Display for Faults {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (index, fault) in self.told.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        if self.more {
            write!(f, "\nand more")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// The largest file that is read.
pub const LARGEST: u64 = 4 << 20;

/// Reads a file's text; one that is missing, too large or not UTF-8 is a fault at its start.
pub fn load(path: &Path) -> Result<String, Fault> {
    let fault = |why: String| Fault {
        file: path.display().to_string(),
        line: 1,
        column: 1,
        part: "file".into(),
        why,
    };
    let size = std::fs::metadata(path)
        .map_err(|why| fault(why.to_string()))?
        .len();
    if size > LARGEST {
        return Err(fault(format!("{size} bytes; {LARGEST} is the most")));
    }
    let bytes = std::fs::read(path).map_err(|why| fault(why.to_string()))?;
    String::from_utf8(bytes).map_err(|why| fault(why.to_string()))
}

/// Values in one text at the most.
const MOST: usize = 40_000;

/// Room for as many values as may be, unoptimised too.
const STACK: usize = 64 << 20;

/// Runs what holds a datum. Lists are chains that the library takes apart by recursion: long ones
/// need more stack than a thread usually has, whoever calls.
pub(crate) fn with_room<T: Send>(
    file: &str,
    call: impl FnOnce() -> Result<T, Fault> + Send,
) -> Result<T, Fault> {
    let fault = |why: String| Fault {
        file: file.into(),
        line: 1,
        column: 1,
        part: "file".into(),
        why,
    };
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new()
            .stack_size(STACK)
            .spawn_scoped(scope, call);
        let joined = thread
            .map_err(|why| fault(format!("no thread to read it: {why}")))?
            .join();
        joined.unwrap_or_else(|_| Err(fault("the reader broke on it".into())))
    })
}

/// Parses a text of one datum, within [`with_room`]. More values than may be are turned down
/// unread. What stands in texts and comments counts too.
pub(crate) fn datum(file: &str, text: &str) -> Result<lexpr::Datum, Fault> {
    let fault = |line, column, why: String| Fault {
        file: file.into(),
        line,
        column,
        part: "file".into(),
        why,
    };
    if text.len() as u64 > LARGEST {
        return Err(fault(
            1,
            1,
            format!("{} bytes; {LARGEST} is the most", text.len()),
        ));
    }
    let (mut values, mut within) = (0, false);
    for byte in text.bytes() {
        let ends = byte.is_ascii_whitespace() || b"()[]{}\"'`,;|#".contains(&byte);
        values += usize::from(ends && !byte.is_ascii_whitespace()) + usize::from(!ends && !within);
        within = !ends;
    }
    // Of a form both ends were counted.
    if values > 2 * MOST {
        return Err(fault(1, 1, format!("more than {MOST} values")));
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
    use_it: impl FnOnce(&Form) -> Result<T, Fault> + Send,
) -> Result<T, Fault> {
    with_room(file, || read_form(file, text, name, use_it))
}

fn read_form<T>(
    file: &str,
    text: &str,
    name: &str,
    use_it: impl FnOnce(&Form) -> Result<T, Fault>,
) -> Result<T, Fault> {
    let datum = datum(file, text)?;
    let form = Form::read(file, name, datum.as_ref())?;
    if form.name != name {
        return Err(form.fault(format!(
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
    at: Ref<'a>,
    /// The names of the forms around it and its own, as messages give them.
    path: String,
    pub name: &'a str,
    rest: Vec<Ref<'a>>,
}

impl<'a> Form<'a> {
    fn read(file: &'a str, around: &str, at: Ref<'a>) -> Result<Self, Fault> {
        let elements: Vec<Ref<'a>> = at.list_iter().map(Iterator::collect).unwrap_or_default();
        let name = elements.first().and_then(|first| first.value().as_symbol());
        let Some(name) = name else {
            return Err(fault_at(
                file,
                at,
                around,
                "a form `(name …)` must stand here".into(),
            ));
        };
        Ok(Form {
            file,
            at,
            path: name.into(),
            name,
            rest: elements[1..].to_vec(),
        })
    }

    /// A fault at the start of this form.
    pub fn fault(&self, why: impl Into<String>) -> Fault {
        fault_at(self.file, self.at, &self.path, why.into())
    }

    /// The forms within, each of a name that is known here and none twice.
    pub fn parts(&self, known: &[&str]) -> Result<Parts<'a>, Fault> {
        let parts = self.all(known)?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.fault("stands here twice"));
        }
        Ok(Parts {
            form: self.clone(),
            parts,
        })
    }

    /// The forms within, of names known here, each as often as it likes.
    pub fn all(&self, known: &[&str]) -> Result<Vec<Form<'a>>, Fault> {
        let parts = self.named()?;
        match parts.iter().find(|part| !known.contains(&part.name)) {
            Some(part) => Err(part.fault(format!("unknown; known here: {}", known.join(", ")))),
            None => Ok(parts),
        }
    }

    /// The forms within, whose names are names that the file gives, none twice.
    pub fn own_names(&self) -> Result<Vec<Form<'a>>, Fault> {
        let parts = self.named()?;
        let mut seen = BTreeSet::new();
        if let Some(part) = parts.iter().find(|part| !seen.insert(part.name)) {
            return Err(part.fault(format!("a second `{}`", part.name)));
        }
        Ok(parts)
    }

    fn named(&self) -> Result<Vec<Form<'a>>, Fault> {
        let part = |&at: &Ref<'a>| {
            let mut part = Form::read(self.file, &self.path, at)?;
            part.path = format!("{}/{}", self.path, part.name);
            Ok(part)
        };
        self.rest.iter().map(part).collect()
    }

    fn only(&self, what: &str) -> Result<Ref<'a>, Fault> {
        match self.rest[..] {
            [only] => Ok(only),
            _ => Err(self.fault(format!("{what} must follow, and nothing else"))),
        }
    }

    fn fault_in(&self, at: Ref, what: &str) -> Fault {
        fault_at(
            self.file,
            at,
            &self.path,
            format!("{what} must stand here, not `{}`", at.value()),
        )
    }

    /// `(name "text")`
    pub fn text(&self) -> Result<&'a str, Fault> {
        let at = self.only("a text in quotes")?;
        at.value()
            .as_str()
            .ok_or_else(|| self.fault_in(at, "a text in quotes"))
    }

    /// `(name word)`
    pub fn word(&self) -> Result<&'a str, Fault> {
        let at = self.only("a word")?;
        at.value()
            .as_symbol()
            .ok_or_else(|| self.fault_in(at, "a word"))
    }

    /// `(name word word …)`, none twice.
    pub fn words(&self) -> Result<Vec<&'a str>, Fault> {
        let (mut words, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.rest {
            let word = at
                .value()
                .as_symbol()
                .ok_or_else(|| self.fault_in(at, "a word"))?;
            if !seen.insert(word) {
                return Err(fault_at(
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
    pub fn one_of(&self, words: &[impl AsRef<str>]) -> Result<usize, Fault> {
        let word = self.word()?;
        words
            .iter()
            .position(|known| known.as_ref() == word)
            .ok_or_else(|| {
                let known: Vec<&str> = words.iter().map(AsRef::as_ref).collect();
                self.fault(format!("`{word}` is none of: {}", known.join(", ")))
            })
    }

    /// `(name #t)` or `(name #f)`
    pub fn truth(&self) -> Result<bool, Fault> {
        let at = self.only("#t or #f")?;
        at.value()
            .as_bool()
            .ok_or_else(|| self.fault_in(at, "#t or #f"))
    }

    /// `(name 1.5)`: finite and not below 0.
    pub fn amount(&self) -> Result<f64, Fault> {
        let at = self.only("a number, 0 or more")?;
        self.amount_at(at)
    }

    fn amount_at(&self, at: Ref) -> Result<f64, Fault> {
        let value = at
            .value()
            .as_f64()
            .filter(|value| value.is_finite() && *value >= 0.0);
        value.ok_or_else(|| self.fault_in(at, "a number, 0 or more"))
    }

    /// `(name 1.5)`: finite and above 0.
    pub fn above_zero(&self) -> Result<f64, Fault> {
        match self.amount()? {
            value if value > 0.0 => Ok(value),
            _ => Err(self.fault("must be above 0")),
        }
    }

    /// `(name 3)`: a whole number within these bounds.
    pub fn whole(&self, least: u64, most: u64) -> Result<u64, Fault> {
        let what = format!("a whole number from {least} to {most}");
        let at = self.only(&what)?;
        let value = at
            .value()
            .as_u64()
            .filter(|value| (least..=most).contains(value));
        value.ok_or_else(|| self.fault_in(at, &what))
    }

    /// `(name 3 5 8)`: whole numbers up to this, none twice.
    pub fn wholes(&self, most: u64) -> Result<Vec<u64>, Fault> {
        let what = format!("a whole number from 0 to {most}");
        let (mut wholes, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.rest {
            let value = at.value().as_u64().filter(|value| *value <= most);
            let value = value.ok_or_else(|| self.fault_in(at, &what))?;
            if !seen.insert(value) {
                return Err(fault_at(
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
    pub fn texts(&self) -> Result<Vec<(&'a str, Fault)>, Fault> {
        let (mut texts, mut seen) = (Vec::new(), BTreeSet::new());
        for &at in &self.rest {
            let text = at
                .value()
                .as_str()
                .ok_or_else(|| self.fault_in(at, "a text in quotes"))?;
            let fault = |why: &str| fault_at(self.file, at, &self.path, format!("`{text}` {why}"));
            if !seen.insert(text) {
                return Err(fault("stands here twice"));
            }
            texts.push((text, fault("is none")));
        }
        Ok(texts)
    }

    /// The form as it would be written without comments, on one line.
    pub fn written(&self) -> String {
        self.at.value().to_string()
    }

    /// `(name 600 ms)`, `(name 14 s)` or `(name 2 min)`: whole tenths of a millisecond, rounded
    /// down, a year at the most.
    pub fn time(&self) -> Result<Ticks, Fault> {
        let [number, unit] = self.rest[..] else {
            return Err(self.fault("a number and its unit (ms, s or min) must follow"));
        };
        let tenths = match unit.value().as_symbol() {
            Some("ms") => 10.0,
            Some("s") => 10_000.0,
            Some("min") => 600_000.0,
            _ => return Err(self.fault_in(unit, "ms, s or min")),
        };
        let value = self.amount_at(number)? * tenths;
        if value > 315_360_000_000.0 {
            return Err(self.fault_in(number, "a time of a year at the most"));
        }
        Ok(value as Ticks)
    }

    /// `(name (cores 2) (memory 4))`
    pub fn cores_and_memory(&self) -> Result<corkspan_scheduler::interface::Resources, Fault> {
        let parts = self.parts(&["cores", "memory"])?;
        Ok(corkspan_scheduler::interface::Resources {
            cores: parts.need("cores")?.above_zero()?,
            memory: parts.need("memory")?.above_zero()?,
        })
    }
}

/// The forms within one, each at most once.
pub struct Parts<'a> {
    form: Form<'a>,
    parts: Vec<Form<'a>>,
}

impl<'a> Parts<'a> {
    pub fn need(&self, name: &str) -> Result<&Form<'a>, Fault> {
        self.find(name)
            .ok_or_else(|| self.form.fault(format!("lacks `({name} …)`")))
    }

    pub fn find(&self, name: &str) -> Option<&Form<'a>> {
        self.parts.iter().find(|part| part.name == name)
    }

    /// What the part says, or this where there is none.
    pub fn or<T>(
        &self,
        name: &str,
        absent: T,
        read: impl FnOnce(&Form<'a>) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        self.find(name).map_or(Ok(absent), read)
    }
}

fn fault_at(file: &str, at: Ref, part: &str, why: String) -> Fault {
    let start = at.span().start();
    Fault {
        file: file.into(),
        line: start.line(),
        column: start.column().max(1),
        part: part.into(),
        why,
    }
}

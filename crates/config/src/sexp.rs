//! Parses files of S-expressions form by form, so that errors are reported with their positions.
//!
//! A form is a list whose first element is its name: `(cold (lasts 14 s) (offers 29))`. `;` starts
//! a comment.

mod diagnostic;
mod form;

pub use diagnostic::{Diagnostic, Diagnostics};
pub use form::{Form, Parts};
use std::path::Path;

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: u64 = 4 << 20;

/// The maximum number of values in one text.
const MAX_VALUES: usize = 40_000;

/// Stack size of the parser's thread, in bytes. Enough for [`MAX_VALUES`] in unoptimized builds.
const STACK_BYTES: usize = 64 << 20;

/// Reads a file's text.
///
/// # Errors
///
/// Fails if the file is missing, larger than [`MAX_FILE_BYTES`] or not UTF-8.
pub fn load(path: &Path) -> Result<String, Diagnostic> {
    let diagnostic = |message: String| Diagnostic::of_file(&path.display().to_string(), message);
    let size = std::fs::metadata(path)
        .map_err(|why| diagnostic(why.to_string()))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(diagnostic(format!(
            "{size} bytes; the maximum is {MAX_FILE_BYTES}"
        )));
    }
    let bytes = std::fs::read(path).map_err(|why| diagnostic(why.to_string()))?;
    String::from_utf8(bytes).map_err(|why| diagnostic(why.to_string()))
}

/// Runs `call`, which parses or drops a datum, on a thread with a large stack: the parser's lists
/// are linked lists that it traverses and drops recursively.
pub(crate) fn on_large_stack<T: Send>(
    file: &str,
    call: impl FnOnce() -> Result<T, Diagnostic> + Send,
) -> Result<T, Diagnostic> {
    let diagnostic = |message: String| Diagnostic::of_file(file, message);
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new()
            .stack_size(STACK_BYTES)
            .spawn_scoped(scope, call);
        let joined = thread
            .map_err(|why| diagnostic(format!("can't start a thread to parse the file: {why}")))?
            .join();
        joined.unwrap_or_else(|_| Err(diagnostic("the parser panicked".into())))
    })
}

/// Parses a text of one datum; must run within [`on_large_stack`]. Rejects a text of more than
/// [`MAX_VALUES`] values, counting those in strings and comments, before parsing it.
pub(crate) fn datum(file: &str, text: &str) -> Result<lexpr::Datum, Diagnostic> {
    let diagnostic = |line, column, why: String| Diagnostic {
        file: file.into(),
        line,
        column,
        path: "file".into(),
        message: why,
    };
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(diagnostic(
            1,
            1,
            format!("{} bytes; the maximum is {MAX_FILE_BYTES}", text.len()),
        ));
    }
    let (mut values, mut within) = (0, false);
    for byte in text.bytes() {
        let ends = byte.is_ascii_whitespace() || b"()[]{}\"'`,;|#".contains(&byte);
        values += usize::from(ends && !byte.is_ascii_whitespace()) + usize::from(!ends && !within);
        within = !ends;
    }
    // The loop counts both parentheses of a form.
    if values > 2 * MAX_VALUES {
        return Err(diagnostic(1, 1, format!("more than {MAX_VALUES} values")));
    }
    // Parses from a reader: for a text in memory the library counts the lines again for each value,
    // so 4 MB take hours. The reader has consumed a value's first byte when it records the
    // position, so columns count from 1.
    lexpr::datum::from_reader(text.as_bytes()).map_err(|why| {
        let location = why.location();
        let (line, column) = location.map_or((1, 1), |at| (at.line(), at.column().max(1)));
        diagnostic(line, column, why.to_string())
    })
}

/// Parses a text that holds exactly one form called `name`, and passes the form to `use_form`.
///
/// # Errors
///
/// Fails if the text is not one such form, or if `use_form` fails.
pub fn with_form<T: Send>(
    file: &str,
    text: &str,
    name: &str,
    use_form: impl FnOnce(&Form) -> Result<T, Diagnostic> + Send,
) -> Result<T, Diagnostic> {
    on_large_stack(file, || read_form(file, text, name, use_form))
}

fn read_form<T>(
    file: &str,
    text: &str,
    name: &str,
    use_form: impl FnOnce(&Form) -> Result<T, Diagnostic>,
) -> Result<T, Diagnostic> {
    let datum = datum(file, text)?;
    let form = Form::read(file, name, datum.as_ref())?;
    if form.name != name {
        return Err(form.diagnostic(format!(
            "`({name} …)` is expected here, not `({} …)`",
            form.name
        )));
    }
    use_form(&form)
}

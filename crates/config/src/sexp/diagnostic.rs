//! Errors in a text, with their positions.

/// One error in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {path}: {message}")]
pub struct Diagnostic {
    /// The file's name, as the caller gave it.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1.
    pub column: usize,
    /// The names of the enclosing forms, outermost first, joined by `/`.
    pub path: String,
    /// The description of the error.
    pub message: String,
}

impl Diagnostic {
    /// Creates a diagnostic about a file as a whole.
    pub(crate) fn of_file(file: &str, message: String) -> Self {
        Diagnostic {
            file: file.into(),
            line: 1,
            column: 1,
            path: "file".into(),
            message,
        }
    }
}

/// The errors in a text, up to a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// The reported errors, in the order of their positions.
    pub reported: Vec<Diagnostic>,
    /// Whether there are more errors than those reported.
    pub truncated: bool,
}

impl Diagnostics {
    /// Sorts by position, drops duplicates and keeps at most `max`.
    pub fn limited(mut diagnostics: Vec<Diagnostic>, max: usize) -> Self {
        diagnostics.sort_by(|a, b| {
            (a.line, a.column, &a.path, &a.message).cmp(&(b.line, b.column, &b.path, &b.message))
        });
        diagnostics.dedup();
        let more = diagnostics.len() > max;
        diagnostics.truncate(max);
        Diagnostics {
            reported: diagnostics,
            truncated: more,
        }
    }
}

impl From<Diagnostic> for Diagnostics {
    fn from(diagnostic: Diagnostic) -> Self {
        Diagnostics {
            reported: vec![diagnostic],
            truncated: false,
        }
    }
}

impl std::fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        for (index, diagnostic) in self.reported.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        if self.truncated {
            write!(f, "\nand more")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

//! What is wrong with a text, with its position.

/// One thing that is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {path}: {message}")]
pub struct Diagnostic {
    /// The file's name, as it was given.
    pub file: String,
    /// From 1.
    pub line: usize,
    /// From 1.
    pub column: usize,
    /// The names of the forms around the position, from the outermost, joined by `/`.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

impl Diagnostic {
    /// Something wrong with a file as a whole.
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

/// All that is wrong with a text, or as much of it as is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// In the order of their positions.
    pub reported: Vec<Diagnostic>,
    /// There are more than those reported.
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

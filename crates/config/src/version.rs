//! Identifies a version of the shared parts by its number and a digest of its content.

use crate::schema;
use crate::sexp::{Diagnostics, with_form};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;

/// The shared parts by name, each written as one form without comments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedParts(BTreeMap<String, String>);

impl FromIterator<(String, String)> for SharedParts {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(parts: I) -> Self {
        SharedParts(parts.into_iter().collect())
    }
}

impl SharedParts {
    /// Extracts the shared parts from the `(deployment …)` of a file or version, without the parts
    /// that are local to each dispatcher. Checks the syntax and the names of the parts only.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let read = with_form(file, text, "deployment", |form| {
            let known: Vec<&str> = schema::local_part_names()
                .chain(schema::shared_part_names())
                .collect();
            let parts = form.parts(&known)?;
            let formatted = |name: &str| Some((name.to_string(), parts.get(name)?.to_text()));
            Ok(schema::shared_part_names().filter_map(formatted).collect())
        });
        Ok(read?)
    }

    /// Returns the name and text of each part, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, text)| (&name[..], &text[..]))
    }

    /// Returns the text of the part with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// Returns a copy of these parts with `changes` added or replaced and `removed` removed.
    pub fn with_changes(&self, changes: &SharedParts, removed: &[String]) -> SharedParts {
        let mut parts = self.0.clone();
        removed.iter().for_each(|name| drop(parts.remove(name)));
        parts.extend(
            changes
                .0
                .iter()
                .map(|(name, text)| (name.clone(), text.clone())),
        );
        SharedParts(parts)
    }

    /// Returns the difference to a later version: the changed and added parts, and the names of the
    /// removed parts.
    pub fn changes_to(&self, later: &SharedParts) -> (SharedParts, Vec<String>) {
        let changed = later
            .0
            .iter()
            .filter(|(name, text)| self.0.get(*name) != Some(*text));
        let removed = self.0.keys().filter(|name| !later.0.contains_key(*name));
        (
            SharedParts(
                changed
                    .map(|(name, text)| (name.clone(), text.clone()))
                    .collect(),
            ),
            removed.cloned().collect(),
        )
    }

    /// Formats all parts as one `(deployment …)`, one part per line.
    pub fn to_deployment_text(&self) -> String {
        let mut deployment_text = String::from("(deployment");
        self.0.values().for_each(|text| {
            deployment_text.push_str("\n  ");
            deployment_text.push_str(text);
        });
        deployment_text.push_str(")\n");
        deployment_text
    }

    /// Returns the SHA-256 over names and texts. Equal parts have equal digests, whatever the
    /// layout of the original text.
    pub fn digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        for (name, text) in &self.0 {
            for piece in [name, text] {
                hasher.update((piece.len() as u64).to_be_bytes());
                hasher.update(piece.as_bytes());
            }
        }
        Digest(hasher.finalize().into())
    }
}

/// A SHA-256 digest of shared parts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(
    /// The 32 bytes of SHA-256.
    pub [u8; 32],
);

impl Digest {
    /// Parses 64 hexadecimal digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Digest(bytes))
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0[..4]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A version's number and the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionId {
    /// The number of a streamed version, from 1; 0 identifies a dispatcher's own file.
    pub number: u64,
    /// The digest of the shared parts.
    pub digest: Digest,
}

impl std::fmt::Display for VersionId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{} ({:?})", self.number, self.digest)
    }
}

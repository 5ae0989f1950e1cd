//! The deployment file that a dispatcher reads at start, and the versions of its shared parts that
//! are streamed later. The grammar is written down in `docs/deployment.md`.
//!
//! [`Deployment`] is what is read. [`schema`] checks a text against the JSON Schema, [`sexp`] reads
//! S-expressions with the position of everything that is wrong, and [`version`] identifies what the
//! dispatchers share.
#![warn(missing_docs, clippy::too_many_lines)]

mod addresses;
mod deployment;
mod document;
mod limits;
mod minimum_version;
pub mod schema;
pub mod sexp;
mod shared_settings;
pub mod version;

pub use addresses::address;
pub use deployment::Deployment;
pub use limits::Limits;
pub use minimum_version::MinimumVersionSettings;

//! Parses the deployment file that a dispatcher reads at start, and the versions of its shared
//! parts that are streamed later. `docs/deployment.md` documents the grammar.
//!
//! [`Deployment`] is the parsed configuration. [`schema`] checks a text against the JSON Schema,
//! [`sexp`] parses S-expressions and reports errors with their positions, and [`version`]
//! identifies a version of the shared parts.
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

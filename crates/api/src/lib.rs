//! Messages and services of `corkspan.v1`, generated from the files in `proto/`, which document
//! their fields: placement for clients, nodes, the roster, configuration versions and rollouts.
#![warn(missing_docs, clippy::too_many_lines)]

pub mod codec;

/// The generated code.
#[allow(clippy::all, clippy::pedantic, clippy::too_many_lines, missing_docs)]
pub mod v1 {
    tonic::include_proto!("corkspan.v1");
}

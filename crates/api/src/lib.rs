//! The messages and services of `corkspan.v1`, generated from the files in `proto/`: placement for clients,
//! node and roster. What the fields mean is said there.

#[allow(clippy::all, clippy::pedantic, missing_docs)]
pub mod v1 {
    tonic::include_proto!("corkspan.v1");
}

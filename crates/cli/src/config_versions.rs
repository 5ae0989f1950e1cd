//! Implements the commands `control` and `schema`: streamed versions of the deployment, and its
//! schema.

use crate::connection::{ANSWER_TIMEOUT, MAX_ANSWER_BYTES, answer_within, with_connection};
use crate::error::Error;
use clap::Subcommand;
use corkspan_api::v1::{self, versions_client::VersionsClient};
use corkspan_config::version::SharedParts;
use corkspan_config::{schema, sexp};
use corkspan_rpc::Connection;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The number of digits of a digest that are printed.
const SHORT_DIGEST: usize = 8;

/// The commands of `control`.
#[derive(Subcommand)]
pub(crate) enum ConfigVersions {
    /// Prints the active version, and the last rejected version with the reasons.
    Status { dispatcher: SocketAddr },
    /// Prints the active shared parts that a file or version would change. Exits with 1 if there
    /// are any.
    Diff {
        dispatcher: SocketAddr,
        file: PathBuf,
    },
}

/// Runs one of the commands.
pub(crate) fn run(command: ConfigVersions) -> Result<(), Error> {
    match command {
        ConfigVersions::Status { dispatcher } => with_connection(dispatcher, async |connection| {
            print_status(&status(connection).await?);
            Ok(())
        }),
        ConfigVersions::Diff { dispatcher, file } => {
            with_connection(dispatcher, async |connection| diff(connection, &file).await)
        }
    }
}

/// Prints the JSON Schema of the deployment file, or of streamed versions.
pub(crate) fn print_schema(version_only: bool) -> Result<(), Error> {
    let kind = if version_only {
        schema::DocumentKind::Version
    } else {
        schema::DocumentKind::File
    };
    let text = serde_json::to_string_pretty(&schema::json_schema(kind))?;
    // A pager that reads the output may close the pipe early.
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}

async fn status(connection: Connection) -> Result<v1::VersionStatus, Error> {
    let mut client = VersionsClient::new(connection).max_decoding_message_size(MAX_ANSWER_BYTES);
    answer_within(ANSWER_TIMEOUT, client.status(v1::VersionStatusRequest {})).await
}

fn describe(version: Option<&v1::VersionId>) -> String {
    match version {
        Some(version) if version.number > 0 => {
            let digest = version.digest.get(..SHORT_DIGEST).unwrap_or_default();
            format!("{} ({digest})", version.number)
        }
        _ => "its own file".into(),
    }
}

fn print_status(status: &v1::VersionStatus) {
    let trial = if status.on_trial { ", on trial" } else { "" };
    println!("active: {}{trial}", describe(status.active.as_ref()));
    println!("last good: {}", describe(status.last_good.as_ref()));
    let service = match status.control_service.as_str() {
        "" => "none",
        service => service,
    };
    println!("control service: {service}");
    println!(
        "applied {}, rejected {}, superseded {}",
        status.applied, status.rejected, status.superseded
    );
    for version in &status.given_up {
        println!("rolled back: {}", describe(Some(version)));
    }
    if status.last_rejected.is_some() {
        let rejected = describe(status.last_rejected.as_ref());
        println!("last rejected: {rejected}");
        status
            .reasons
            .iter()
            .for_each(|reason| println!("  {reason}"));
    }
}

async fn diff(connection: Connection, file: &Path) -> Result<(), Error> {
    let path = file.display().to_string();
    let next = SharedParts::parse(&path, &sexp::load(file)?)?;
    let active = SharedParts::parse("active version", &status(connection).await?.text)?;
    let (changes, removed) = active.changes_to(&next);
    let changed = changes.iter().map(|(name, _)| name);
    for name in removed.iter().map(String::as_str).chain(changed) {
        active
            .get(name)
            .iter()
            .for_each(|text| println!("- {text}"));
        next.get(name).iter().for_each(|text| println!("+ {text}"));
    }
    match removed.len() + changes.iter().count() {
        0 => Ok(()),
        count => Err(Error::PartsDiffer(count)),
    }
}

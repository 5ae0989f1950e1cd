//! A control service, and dispatchers as processes of their own that take versions from it.

use crate::capture::Capture;
use crate::control_service::{ControlService, ControlServiceGuard};
use crate::discovery::Discovery;
use crate::measure::{self, Process};
use crate::node::SharedContext;
use async_io::Timer;
use corkspan_api::v1::{self, versions_client::VersionsClient};
use corkspan_config::version::SharedParts;
use corkspan_rpc::{SharedExecutor, within};
use futures_lite::future;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Nothing here takes longer.
const PATIENCE: Duration = Duration::from_secs(60);

/// A control service, and dispatchers that take their versions from it.
pub(super) struct Environment {
    pub(super) tasks: SharedExecutor,
    pub(super) context: std::sync::Arc<SharedContext>,
    pub(super) program: Vec<OsString>,
    pub(super) folder: tempfile::TempDir,
    pub(super) discovery: SocketAddr,
    pub(super) control: ControlService,
    pub(super) up: Option<ControlServiceGuard>,
    pub(super) dispatchers: Vec<Process>,
}

/// Runs a story on this thread.
pub(super) fn in_environment<T, F: Future<Output = Result<T, String>>>(
    program: &[OsString],
    dispatchers: usize,
    story: impl FnOnce(Environment) -> F,
) -> Result<T, String> {
    let tasks = SharedExecutor::default();
    let whole = async {
        let text = |why: std::io::Error| why.to_string();
        let context = SharedContext::new(Capture::new(None).map_err(text)?, &tasks, None);
        let (_roster, discovery) = Discovery::start(&context).await.map_err(text)?;
        let (control, up) = ControlService::start(&context).await.map_err(text)?;
        let mut environment = Environment {
            tasks: tasks.clone(),
            context,
            program: program.to_vec(),
            folder: tempfile::tempdir().map_err(text)?,
            discovery,
            control,
            up: Some(up),
            dispatchers: Vec::new(),
        };
        for number in 0..dispatchers {
            let process = environment.start(number, dispatchers)?;
            environment.dispatchers.push(process);
        }
        environment
            .until("all streams stand", |environment| {
                environment.control.opened() >= dispatchers
            })
            .await?;
        story(environment).await
    };
    future::block_on(tasks.run(whole))
}

impl Environment {
    pub(super) fn file(&self, number: usize, of: usize) -> String {
        let kept = self.folder.path().join(format!("versions-{number}.json"));
        let more = format!("(control \"{}\") (versions {kept:?})", self.control.address);
        let text = measure::deployment(self.discovery, &more);
        text.replace("(number 0)", &format!("(number {number})"))
            .replace("(schedulers 1)", &format!("(schedulers {of})"))
    }

    pub(super) fn start(&self, number: usize, of: usize) -> Result<Process, String> {
        let path: PathBuf = self.folder.path().join(format!("{number}.sexp"));
        Process::start_in(&self.program, &path, &self.file(number, of))
    }

    /// The file's shared parts with one more track, and other shots: always another version, and a
    /// sound one.
    pub(super) fn texts(&self, dispatchers: usize, which: u64) -> SharedParts {
        let shared =
            SharedParts::parse("file", &self.file(0, dispatchers)).expect("the file is sound");
        let tracks = shared.get("tracks").unwrap_or_default();
        let more = format!(
            "(t{} (repeat idempotent) (contract-time 300 ms))",
            which % 9
        );
        let tracks = format!("{} {more})", &tracks[..tracks.len() - 1]);
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + which);
        let changes = [
            ("tracks".to_string(), tracks),
            ("accounts".to_string(), accounts),
        ];
        shared.with_changes(&changes.into_iter().collect(), &[])
    }

    pub(super) async fn until(
        &self,
        what: &str,
        mut done: impl FnMut(&Environment) -> bool,
    ) -> Result<(), String> {
        let waits = async {
            while !done(self) {
                Timer::after(Duration::from_millis(2)).await;
            }
        };
        within(PATIENCE, waits)
            .await
            .ok_or_else(|| format!("waited {PATIENCE:?} in vain: {what}"))
    }

    pub(super) async fn status(&self, dispatcher: usize) -> Result<v1::VersionStatus, String> {
        let link = measure::connect(&self.tasks, self.dispatchers[dispatcher].address).await?;
        let status = VersionsClient::new(link)
            .status(v1::VersionStatusRequest {})
            .await;
        Ok(status
            .map_err(|why| why.message().to_string())?
            .into_inner())
    }
}

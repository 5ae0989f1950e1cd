//! An environment with a control service and dispatcher processes that receive versions from it.

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

/// The timeout of each wait.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A control service and the dispatchers that receive their versions from it.
pub(super) struct Environment {
    pub(super) tasks: SharedExecutor,
    pub(super) context: std::sync::Arc<SharedContext>,
    pub(super) program: Vec<OsString>,
    pub(super) folder: tempfile::TempDir,
    pub(super) discovery: SocketAddr,
    pub(super) control: ControlService,
    pub(super) control_guard: Option<ControlServiceGuard>,
    pub(super) dispatchers: Vec<Process>,
}

/// Runs an experiment in a new environment on this thread.
pub(super) fn in_environment<T, F: Future<Output = Result<T, String>>>(
    program: &[OsString],
    dispatchers: usize,
    experiment: impl FnOnce(Environment) -> F,
) -> Result<T, String> {
    let tasks = SharedExecutor::default();
    let run = async {
        let to_text = |why: std::io::Error| why.to_string();
        let context = SharedContext::new(Capture::new(None).map_err(to_text)?, &tasks, None);
        let (_discovery_service, discovery) = Discovery::start(&context).await.map_err(to_text)?;
        let (control, control_guard) = ControlService::start(&context).await.map_err(to_text)?;
        let mut environment = Environment {
            tasks: tasks.clone(),
            context,
            program: program.to_vec(),
            folder: tempfile::tempdir().map_err(to_text)?,
            discovery,
            control,
            control_guard: Some(control_guard),
            dispatchers: Vec::new(),
        };
        for number in 0..dispatchers {
            let process = environment.start(number, dispatchers)?;
            environment.dispatchers.push(process);
        }
        environment
            .wait_for("all version streams are open", |environment| {
                environment.control.streams_opened() >= dispatchers
            })
            .await?;
        experiment(environment).await
    };
    future::block_on(tasks.run(run))
}

impl Environment {
    /// Returns the text of a dispatcher's deployment file.
    pub(super) fn deployment_text(&self, number: usize, schedulers: usize) -> String {
        let version_cache = self.folder.path().join(format!("versions-{number}.json"));
        let extra_parts = format!(
            "(control \"{}\") (versions {version_cache:?})",
            self.control.address
        );
        let text = measure::deployment(self.discovery, &extra_parts);
        text.replace("(number 0)", &format!("(number {number})"))
            .replace("(schedulers 1)", &format!("(schedulers {schedulers})"))
    }

    /// Starts the process of a dispatcher.
    pub(super) fn start(&self, number: usize, schedulers: usize) -> Result<Process, String> {
        let path: PathBuf = self.folder.path().join(format!("{number}.sexp"));
        Process::start_in(
            &self.program,
            &path,
            &self.deployment_text(number, schedulers),
        )
    }

    /// Returns the shared parts of the deployment file with one more service class and a changed
    /// tenant: always a new and valid version.
    pub(super) fn shared_parts_with_change(&self, dispatchers: usize, change: u64) -> SharedParts {
        let shared_parts = SharedParts::parse("file", &self.deployment_text(0, dispatchers))
            .expect("the deployment file is valid");
        let service_classes = shared_parts.get("tracks").unwrap_or_default();
        let added_class = format!(
            "(t{} (repeat idempotent) (contract-time 300 ms))",
            change % 9
        );
        let service_classes = format!(
            "{} {added_class})",
            &service_classes[..service_classes.len() - 1]
        );
        let tenants = format!("(accounts (a (share-cores {})))", 1_000_000 + change);
        let changes = [
            ("tracks".to_string(), service_classes),
            ("accounts".to_string(), tenants),
        ];
        shared_parts.with_changes(&changes.into_iter().collect(), &[])
    }

    /// Waits until a condition is met. `condition` describes it in the error of a timeout.
    pub(super) async fn wait_for(
        &self,
        condition: &str,
        mut is_met: impl FnMut(&Environment) -> bool,
    ) -> Result<(), String> {
        let polling = async {
            while !is_met(self) {
                Timer::after(Duration::from_millis(2)).await;
            }
        };
        within(TIMEOUT, polling)
            .await
            .ok_or_else(|| format!("not met within {TIMEOUT:?}: {condition}"))
    }

    /// Returns the version status of a dispatcher.
    pub(super) async fn status(&self, dispatcher: usize) -> Result<v1::VersionStatus, String> {
        let connection =
            measure::connect(&self.tasks, self.dispatchers[dispatcher].address).await?;
        let status = VersionsClient::new(connection)
            .status(v1::VersionStatusRequest {})
            .await;
        Ok(status
            .map_err(|why| why.message().to_string())?
            .into_inner())
    }
}

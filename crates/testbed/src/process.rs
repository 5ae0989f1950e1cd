//! The processes of the dispatchers: real ones with one dispatcher each, and hollow ones with many.
//! A fault of a process affects all dispatchers in it.

use crate::capture::{DispatcherState, Observation};
use crate::client::Frontend;
use crate::cost;
use crate::fault_proxies::FaultProxies;
use async_io::Timer;
use corkspan_rpc::within;
use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The programs of dispatcher processes, each with its first arguments.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The real dispatcher; `serve FILE` is appended.
    pub real: Vec<OsString>,
    /// The hollow dispatchers; the deployment files are appended.
    pub hollow: Vec<OsString>,
}

impl Programs {
    /// Returns the programs that run as subcommands of the testbed's binary.
    pub fn with_binary(binary: &Path) -> Programs {
        let binary = OsString::from(binary);
        Programs {
            real: vec![binary.clone(), "corkspan".into()],
            hollow: vec![binary, "hollow".into(), "serve".into()],
        }
    }

    pub fn of_current_exe() -> Result<Programs, String> {
        std::env::current_exe()
            .map(|binary| Programs::with_binary(&binary))
            .map_err(|error| error.to_string())
    }
}

/// A process with one or more dispatchers.
pub(crate) struct Process {
    /// The numbers of its dispatchers.
    pub dispatchers: Range<usize>,
    pub hollow: bool,
    /// One deployment file for each dispatcher.
    pub files: Vec<PathBuf>,
    pub program: Vec<OsString>,
    pub log: Option<PathBuf>,
    /// Whether the scenario fills the disk of this process.
    pub fills_disk: bool,
    pub child: Option<Child>,
}

impl Process {
    fn record(&self, frontend: &Frontend, state: DispatcherState) {
        for number in self.dispatchers.clone() {
            frontend.context.capture.record(Observation::Dispatcher {
                dispatcher: number as u32,
                state,
            });
        }
    }

    pub async fn start(
        &mut self,
        frontend: &Arc<Frontend>,
        proxies: Option<&FaultProxies>,
    ) -> Result<(), String> {
        let (program, arguments) = self.program.split_first().ok_or("no program is given")?;
        let mut command = match self.fills_disk {
            false => Command::new(program),
            // With SIGXFSZ ignored, a write beyond the file size limit fails as on a full disk
            // instead of ending the process.
            true => {
                let mut shell = Command::new("sh");
                shell
                    .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
                    .arg(program);
                shell
            }
        };
        command.args(arguments);
        if !self.hollow {
            command.arg("serve");
        }
        command
            .args(&self.files)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        match &self.log {
            Some(log) => {
                let file = std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(log);
                command.stderr(file.map_err(|error| format!("{}: {error}", log.display()))?);
            }
            None if self.hollow => drop(command.stderr(Stdio::inherit())),
            None => drop(command.arg("--level").arg("error").stderr(Stdio::inherit())),
        }
        let mut child = command
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let stdout = child
            .stdout
            .take()
            .ok_or("the dispatcher process has no standard output")?;
        self.child = Some(child);
        let dispatcher_count = self.dispatchers.len();
        let lines = blocking::unblock(move || {
            let lines = BufReader::new(stdout).lines().take(dispatcher_count);
            lines.collect::<std::io::Result<Vec<String>>>()
        });
        let lines = within(Duration::from_secs(20), lines).await;
        let lines = lines
            .ok_or("a dispatcher did not start to listen in time")?
            .map_err(|error| error.to_string())?;
        let mut addresses: Vec<(usize, SocketAddr)> = Vec::new();
        for line in &lines {
            let start_error = || format!("a dispatcher did not start: `{line}`");
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (index, address) = match fields[..] {
                ["listening", address] if !self.hollow => (Some(0), address),
                ["listening", index, address] if self.hollow => (index.parse().ok(), address),
                _ => return Err(start_error()),
            };
            let index = index
                .filter(|index| *index < dispatcher_count)
                .ok_or_else(start_error)?;
            addresses.push((
                self.dispatchers.start + index,
                address.parse().map_err(|_| start_error())?,
            ));
        }
        if addresses.len() < dispatcher_count {
            return Err(format!(
                "only {} of {dispatcher_count} dispatchers of a process are listening",
                addresses.len()
            ));
        }
        self.record(frontend, DispatcherState::Started);
        for (number, address) in addresses {
            frontend.set_address(number, Some(address));
            proxies
                .iter()
                .for_each(|proxies| proxies.set_dispatcher_address(number, address));
        }
        Ok(())
    }

    fn close(&self, frontend: &Frontend) {
        self.dispatchers
            .clone()
            .for_each(|number| frontend.set_address(number, None));
    }

    pub fn kill(&mut self, frontend: &Frontend) -> Result<(), String> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        self.record(frontend, DispatcherState::Killed);
        self.close(frontend);
        child
            .kill()
            .and_then(|()| child.wait())
            .map(drop)
            .map_err(|error| error.to_string())
    }

    /// Limits the size of the files that the process writes; none removes the limit.
    pub fn limit_file_size(&mut self, max_bytes: Option<u64>) -> Result<(), String> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let limit = rustix::process::Rlimit {
            current: max_bytes,
            maximum: None,
        };
        let pid = rustix::process::Pid::from_child(child);
        let result = rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit);
        result
            .map(drop)
            .map_err(|error| format!("can't change the file size limit: {error}"))
    }

    pub fn signal(
        &mut self,
        frontend: &Frontend,
        signal: rustix::process::Signal,
        state: DispatcherState,
    ) -> Result<(), String> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        // Both stopping and continuing are recorded before the signal is sent, so that the record
        // is not in the dispatcher's favour.
        self.record(frontend, state);
        rustix::process::kill_process(rustix::process::Pid::from_child(child), signal)
            .map_err(|error| error.to_string())
    }

    /// Sends SIGTERM and waits for the process to exit.
    pub async fn stop(&mut self, frontend: &Frontend) -> Result<(), String> {
        self.signal(
            frontend,
            rustix::process::Signal::TERM,
            DispatcherState::Stopping,
        )?;
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        self.close(frontend);
        let deadline = Instant::now() + Duration::from_secs(15);
        let status = loop {
            match child.try_wait().map_err(|error| error.to_string())? {
                Some(status) => break Some(status),
                None if Instant::now() > deadline => break None,
                None => drop(Timer::after(Duration::from_millis(10)).await),
            }
        };
        if status.is_some_and(|status| status.success()) {
            self.record(frontend, DispatcherState::Ended);
            return Ok(());
        }
        self.record(frontend, DispatcherState::Crashed);
        if status.is_none() {
            let _ = child.kill().and_then(|()| child.wait());
        }
        Err(format!(
            "dispatchers {:?} did not exit with status 0: {status:?}",
            self.dispatchers
        ))
    }

    pub fn resident_kib(&self) -> Option<u64> {
        cost::resident_kib(self.child.as_ref()?.id())
    }

    /// Returns the kernel's resource counters of the process; none if it does not run.
    pub fn cost(&self) -> Option<cost::Reading> {
        let process = self.child.as_ref()?.id();
        Some(cost::Reading {
            dispatchers: self.dispatchers.clone(),
            hollow: self.hollow,
            process,
            at: Instant::now(),
            cpu: cost::cpu(&format!("/proc/{process}"))?,
            resident_kib: cost::resident_kib(process)?,
            counts: Default::default(),
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A scenario that is aborted leaves no process behind.
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}

//! The dispatchers' processes: real ones, a dispatcher each, and hollow ones, with many. What
//! strikes a process strikes all dispatchers in it.

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

/// What is started, each with its first arguments.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `serve FILE` follows.
    pub real: Vec<OsString>,
    /// Deployment files follow.
    pub hollow: Vec<OsString>,
}

impl Programs {
    /// Of this laboratory's binary.
    pub fn with_binary(own: &Path) -> Programs {
        let own = OsString::from(own);
        Programs {
            real: vec![own.clone(), "corkspan".into()],
            hollow: vec![own, "hollow".into(), "serve".into()],
        }
    }

    pub fn of_current_exe() -> Result<Programs, String> {
        std::env::current_exe()
            .map(|own| Programs::with_binary(&own))
            .map_err(|why| why.to_string())
    }
}

pub(crate) struct Process {
    pub numbers: Range<usize>,
    pub hollow: bool,
    /// One for each.
    pub files: Vec<PathBuf>,
    pub program: Vec<OsString>,
    pub log: Option<PathBuf>,
    /// Its disk is filled at some time of the day.
    pub fills_disk: bool,
    pub child: Option<Child>,
}

impl Process {
    fn record(&self, frontend: &Frontend, state: DispatcherState) {
        for number in self.numbers.clone() {
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
        let (program, first) = self.program.split_first().ok_or("no program is given")?;
        let mut command = match self.fills_disk {
            false => Command::new(program),
            // A write beyond what its files may hold fails as on a full disk, once the signal for
            // it is passed over.
            true => {
                let mut shell = Command::new("sh");
                shell
                    .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
                    .arg(program);
                shell
            }
        };
        command.args(first);
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
                command.stderr(file.map_err(|why| format!("{}: {why}", log.display()))?);
            }
            None if self.hollow => drop(command.stderr(Stdio::inherit())),
            None => drop(command.arg("--level").arg("error").stderr(Stdio::inherit())),
        }
        let mut child = command
            .spawn()
            .map_err(|why| format!("{}: {why}", program.display()))?;
        let out = child.stdout.take().ok_or("no standard output")?;
        self.child = Some(child);
        let many = self.numbers.len();
        let lines = blocking::unblock(move || {
            let lines = BufReader::new(out).lines().take(many);
            lines.collect::<std::io::Result<Vec<String>>>()
        });
        let lines = within(Duration::from_secs(20), lines).await;
        let lines = lines
            .ok_or("a dispatcher does not start to listen")?
            .map_err(|why| why.to_string())?;
        let mut listens: Vec<(usize, SocketAddr)> = Vec::new();
        for line in &lines {
            let why = || format!("a dispatcher did not start: `{line}`");
            let words: Vec<&str> = line.split_whitespace().collect();
            let (which, address) = match words[..] {
                ["listening", address] if !self.hollow => (Some(0), address),
                ["listening", which, address] if self.hollow => (which.parse().ok(), address),
                _ => return Err(why()),
            };
            let which = which.filter(|which| *which < many).ok_or_else(why)?;
            listens.push((
                self.numbers.start + which,
                address.parse().map_err(|_| why())?,
            ));
        }
        if listens.len() < many {
            return Err(format!(
                "{} of {many} dispatchers of a process listen",
                listens.len()
            ));
        }
        self.record(frontend, DispatcherState::Started);
        for (number, address) in listens {
            frontend.set_address(number, Some(address));
            proxies
                .iter()
                .for_each(|proxies| proxies.set_dispatcher_address(number, address));
        }
        Ok(())
    }

    fn close(&self, frontend: &Frontend) {
        self.numbers
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
            .map_err(|why| why.to_string())
    }

    /// Its files may hold so many bytes from now on; none: as many as they like.
    pub fn limit_file_size(&mut self, most: Option<u64>) -> Result<(), String> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let limit = rustix::process::Rlimit {
            current: most,
            maximum: None,
        };
        let pid = rustix::process::Pid::from_child(child);
        let set = rustix::process::prlimit(Some(pid), rustix::process::Resource::Fsize, limit);
        set.map(drop)
            .map_err(|why| format!("a disk can't be filled: {why}"))
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
        // Going on counts from before it does, standing still from before it does: neither flatters
        // it.
        self.record(frontend, state);
        rustix::process::kill_process(rustix::process::Pid::from_child(child), signal)
            .map_err(|why| why.to_string())
    }

    /// Asks it to stop and waits for it.
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
        let until = Instant::now() + Duration::from_secs(15);
        let status = loop {
            match child.try_wait().map_err(|why| why.to_string())? {
                Some(status) => break Some(status),
                None if Instant::now() > until => break None,
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
            "dispatchers {:?} did not stop with 0: {status:?}",
            self.numbers
        ))
    }

    pub fn resident_kib(&self) -> Option<u64> {
        cost::resident_kib(self.child.as_ref()?.id())
    }

    /// What the kernel counts of it; none where it does not run.
    pub fn cost(&self) -> Option<cost::Reading> {
        let process = self.child.as_ref()?.id();
        Some(cost::Reading {
            numbers: self.numbers.clone(),
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
        // A day that breaks off leaves no process behind.
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().and_then(|()| child.wait());
        }
    }
}

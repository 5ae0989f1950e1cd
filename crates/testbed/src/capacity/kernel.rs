//! Reads the kernel's figures of processes, threads and the machine.

use corkspan_capacity_model::requirements::MachineResources;
use std::fs;
use std::path::Path;

/// The time spent on a processor and the time spent waiting for one, in ns.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuTime {
    pub ran_ns: u64,
    pub waited_ns: u64,
}

impl CpuTime {
    pub fn since(self, before: CpuTime) -> CpuTime {
        CpuTime {
            ran_ns: self.ran_ns.saturating_sub(before.ran_ns),
            waited_ns: self.waited_ns.saturating_sub(before.waited_ns),
        }
    }
}

fn schedstat(path: &Path) -> Option<CpuTime> {
    let text = fs::read_to_string(path).ok()?;
    let mut fields = text.split_whitespace().map(|field| field.parse().ok());
    Some(CpuTime {
        ran_ns: fields.next()??,
        waited_ns: fields.next()??,
    })
}

/// Returns the processor time of all threads of a process that still run.
pub fn process_cpu_time(id: u32) -> Result<CpuTime, String> {
    let threads =
        fs::read_dir(format!("/proc/{id}/task")).map_err(|why| format!("process {id}: {why}"))?;
    let times = threads
        .flatten()
        .filter_map(|thread| schedstat(&thread.path().join("schedstat")));
    Ok(times.fold(CpuTime::default(), |sum, time| CpuTime {
        ran_ns: sum.ran_ns + time.ran_ns,
        waited_ns: sum.waited_ns + time.waited_ns,
    }))
}

/// Returns the id of the calling thread.
pub fn current_thread_id() -> Result<i32, String> {
    let link = fs::read_link("/proc/thread-self").map_err(|why| why.to_string())?;
    let id = link
        .file_name()
        .and_then(|name| name.to_str()?.parse().ok());
    id.ok_or_else(|| "the kernel does not report the id of the calling thread".into())
}

/// Returns the processor time of one thread of this process.
pub fn thread_cpu_time(id: i32) -> Result<CpuTime, String> {
    let path = format!("/proc/self/task/{id}/schedstat");
    schedstat(Path::new(&path)).ok_or_else(|| format!("the kernel does not report {path}"))
}

/// Returns the ticks of all processors so far, and how many of them were stolen from this machine.
pub fn cpu_ticks() -> Result<(u64, u64), String> {
    let text = fs::read_to_string("/proc/stat").map_err(|why| why.to_string())?;
    let line = text.lines().next().unwrap_or("");
    let ticks: Vec<u64> = line
        .split_whitespace()
        .skip(1)
        .filter_map(|field| field.parse().ok())
        .collect();
    match ticks.get(7) {
        Some(stolen) => Ok((ticks[..8].iter().sum(), *stolen)),
        None => Err("the kernel does not report processor ticks in /proc/stat".into()),
    }
}

/// Returns the machine's load average over one minute.
pub fn load_average() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0)
}

pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// Returns the resources of this machine.
pub fn machine_resources() -> MachineResources {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = line
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0);
    let limit = |which| {
        rustix::process::getrlimit(which)
            .current
            .unwrap_or(u64::MAX)
    };
    MachineResources {
        memory_mib: kib / 1_024,
        processes: limit(rustix::process::Resource::Nproc),
        descriptors: limit(rustix::process::Resource::Nofile),
    }
}

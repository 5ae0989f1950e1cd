//! What the kernel tells of processes, threads and the machine.

use corkspan_capacity_model::requirements::MachineResources;
use std::fs;
use std::path::Path;

/// Time on a processor and time waited for one, in ns.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuTime {
    pub ran: u64,
    pub waited: u64,
}

impl CpuTime {
    pub fn since(self, before: CpuTime) -> CpuTime {
        CpuTime {
            ran: self.ran.saturating_sub(before.ran),
            waited: self.waited.saturating_sub(before.waited),
        }
    }
}

fn schedstat(path: &Path) -> Option<CpuTime> {
    let text = fs::read_to_string(path).ok()?;
    let mut fields = text.split_whitespace().map(|field| field.parse().ok());
    Some(CpuTime {
        ran: fields.next()??,
        waited: fields.next()??,
    })
}

/// Of all threads of a process that live now.
pub fn process(id: u32) -> Result<CpuTime, String> {
    let threads =
        fs::read_dir(format!("/proc/{id}/task")).map_err(|why| format!("process {id}: {why}"))?;
    let each = threads
        .flatten()
        .filter_map(|thread| schedstat(&thread.path().join("schedstat")));
    Ok(each.fold(CpuTime::default(), |sum, own| CpuTime {
        ran: sum.ran + own.ran,
        waited: sum.waited + own.waited,
    }))
}

pub fn this_thread() -> Result<i32, String> {
    let own = fs::read_link("/proc/thread-self").map_err(|why| why.to_string())?;
    let id = own.file_name().and_then(|name| name.to_str()?.parse().ok());
    id.ok_or_else(|| "the kernel does not tell threads apart".into())
}

/// Of one thread of this process.
pub fn thread(id: i32) -> Result<CpuTime, String> {
    let path = format!("/proc/self/task/{id}/schedstat");
    schedstat(Path::new(&path)).ok_or_else(|| format!("the kernel does not tell {path}"))
}

/// Ticks of all processors, and of them stolen from this machine.
pub fn ticks() -> Result<(u64, u64), String> {
    let text = fs::read_to_string("/proc/stat").map_err(|why| why.to_string())?;
    let line = text.lines().next().unwrap_or("");
    let all: Vec<u64> = line
        .split_whitespace()
        .skip(1)
        .filter_map(|field| field.parse().ok())
        .collect();
    match all.get(7) {
        Some(stolen) => Ok((all[..8].iter().sum(), *stolen)),
        None => Err("the kernel does not tell its ticks".into()),
    }
}

pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|field| field.parse().ok())
        .unwrap_or(0.0)
}

pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}

/// What this machine has.
pub fn machine() -> MachineResources {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kib = line
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .unwrap_or(0);
    let most = |which| {
        rustix::process::getrlimit(which)
            .current
            .unwrap_or(u64::MAX)
    };
    MachineResources {
        memory_mib: kib / 1_024,
        processes: most(rustix::process::Resource::Nproc),
        descriptors: most(rustix::process::Resource::Nofile),
    }
}

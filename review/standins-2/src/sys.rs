//! The few system calls that the standard library lacks. No crate is needed for them.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;

/// Changes the number of connections that wait to be accepted.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: the descriptor is open as long as the listener is borrowed.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// Sends a signal to a process that this program has started.
pub fn signal(process: u32, signal: i32) {
    // SAFETY: no memory is passed.
    unsafe { kill(process as i32, signal) };
}

/// Lets the process that a command starts end with this program, however that ends.
pub fn end_with_this_program(command: &mut Command) {
    // PR_SET_PDEATHSIG of Linux, the same on x86-64 and arm64.
    // SAFETY: the closure makes one system call and touches no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(1, SIGKILL as u64);
            Ok(())
        })
    };
}

/// Returns an address with a free port of the system's choice. Each run listens on a loopback address
/// of its own, so that a port that is used again after a restart is not given to a connection of
/// another program meanwhile.
pub fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 10 + high % 200, low, 1), 0))
}

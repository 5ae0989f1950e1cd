//! Tells errors that pass by themselves from lasting ones, and retries what they hinder.

use async_io::Timer;
use async_net::TcpStream;
use rustix::io::Errno;
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which what has failed with a passing error is tried again.
pub const RETRY_DELAY: Duration = Duration::from_millis(10);

/// Returns whether an error is due to a lack of resources or a change of the network that usually
/// passes within moments. It says nothing about the peer.
pub fn is_passing(error: &Error) -> bool {
    if matches!(
        error.kind(),
        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
    ) {
        return true;
    }
    let passing = [
        Errno::NFILE,
        Errno::MFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NETDOWN,
    ];
    let code = error.raw_os_error();
    passing
        .iter()
        .any(|errno| code == Some(errno.raw_os_error()))
}

/// Returns whether the process has no descriptor left.
pub fn is_out_of_descriptors(error: &Error) -> bool {
    error.raw_os_error() == Some(Errno::MFILE.raw_os_error())
}

/// Opens a connection, and tries again while that fails with a passing error. The caller limits the
/// time; `passing_error` is then the error of the last try, if there was one.
pub async fn connect(
    address: SocketAddr,
    passing_error: &mut Option<Error>,
) -> std::io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_passing(&error) => *passing_error = Some(error),
            connected => return connected,
        }
        Timer::after(RETRY_DELAY).await;
    }
}

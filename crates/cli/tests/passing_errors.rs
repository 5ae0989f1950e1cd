//! Runs the program as a process whose system calls fail for moments.

mod program;
mod shim;

use corkspan_platform_wire::client::{self, MessageType};
use program::{Limits, Program};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};

/// Starts the program with a fault in this share of the calls. Nodes and the control feed are down.
fn start_with_fault(name: &'static str, percent: u32) -> Program {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let unused = listener.local_addr().expect("bound");
    drop(listener);
    let environment = [
        ("LD_PRELOAD", shim::library().display().to_string()),
        (name, percent.to_string()),
    ];
    Program::start(LIMITS, unused, 1, unused, &environment)
}

fn pass_health_check(stream: &mut TcpStream) {
    let health_check = client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
    stream
        .write_all(&health_check.expect("short"))
        .expect("written");
    assert!(stream.read(&mut [0; 64]).expect("an answer") > 0);
}

/// Guards against a start that fails because one call has failed for a moment.
#[test]
fn a_start_outlasts_passing_errors_of_its_socket() {
    let program = start_with_fault("FAULT_SOCKET", 95);
    pass_health_check(&mut program.connect());
}

/// Guards against connections that are closed because another could not be accepted for a moment.
#[test]
fn passing_errors_of_accept_close_no_other_connection() {
    let program = start_with_fault("FAULT_ACCEPT", 90);
    let mut clients: Vec<TcpStream> = (0..20).map(|_| program.connect()).collect();
    clients.iter_mut().for_each(pass_health_check);
    for client in &mut clients {
        client
            .set_read_timeout(Some(Duration::from_millis(1)))
            .expect("a socket option");
        let error = client.read(&mut [0; 64]).expect_err("nothing is sent");
        assert_eq!(error.kind(), ErrorKind::WouldBlock, "it is open");
    }
}

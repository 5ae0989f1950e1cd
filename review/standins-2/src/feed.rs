//! The control feed: server-sent events over HTTP. The whole list is in the first event, and nothing
//! changes afterwards.

use crate::{record, sys};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A node in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            concat!(
                r#"{{"id":"{}","host_port":"{}","locality":"hall-a","flavor":"std","cell":1,"#,
                r#""phase":"active","size":4,"up_since_ms":0,"unasked":[40,120]}}"#
            ),
            self.id, self.address
        )
    }
}

#[derive(Clone)]
pub struct Feed {
    pub address: SocketAddr,
    event: String,
}

impl Feed {
    /// Starts a feed with this list.
    pub fn start(list: &[Entry]) -> Feed {
        let listener = TcpListener::bind(sys::free_address()).expect("a free port");
        let entries: Vec<String> = list.iter().map(Entry::json).collect();
        let feed = Feed {
            address: listener.local_addr().expect("bound"),
            event: format!(
                r#"{{"n":1,"members":{{"revision":1,"complete":true,"members":[{}]}}}}"#,
                entries.join(",")
            ),
        };
        let serving = feed.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let feed = serving.clone();
                std::thread::spawn(move || feed.serve(stream));
            }
        });
        feed
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut head = BufReader::new(stream.try_clone().ok()?);
        let mut last = 0;
        loop {
            let mut line = String::new();
            if head.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last = id.trim().parse().ok()?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        record::line(&format!(
            "feed: a dispatcher asks for the events after {last}"
        ));
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n")
            .ok()?;
        if last < 1 {
            let event = format!("id: 1\ndata: {}\n\n", self.event);
            stream.write_all(event.as_bytes()).ok()?;
        }
        loop {
            std::thread::sleep(Duration::from_secs(1));
            stream.write_all(b": alive\n\n").ok()?;
        }
    }

    /// Returns the events up to now, as the configuration holds them.
    pub fn known(&self) -> String {
        format!(r#"{{"n":1,"events":[{}]}}"#, self.event)
    }
}

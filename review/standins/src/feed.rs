//! The control feed as a stand-in.

use crate::world::{give_up, lock};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The control feed: numbered events as server-sent events, a comment every second.
pub struct Feed {
    pub address: SocketAddr,
    pub events: Mutex<Vec<Value>>,
}

impl Feed {
    pub fn start(first: Value) -> Arc<Feed> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
        let address = listener
            .local_addr()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let feed = Arc::new(Feed {
            address,
            events: Mutex::new(vec![first]),
        });
        let server = Arc::clone(&feed);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let feed = Arc::clone(&server);
                thread::spawn(move || feed.serve(stream));
            }
        });
        feed
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut head = BufReader::new(stream.try_clone().ok()?);
        let mut last = 0;
        loop {
            let mut line = String::new();
            head.read_line(&mut line).ok().filter(|&count| count > 0)?;
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last = id.trim().parse().ok()?;
            }
            if line.trim().is_empty() {
                break;
            }
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            .ok()?;
        let mut comment_at = Instant::now() + Duration::from_secs(1);
        loop {
            let new: Vec<Value> = lock(&self.events).iter().skip(last).cloned().collect();
            for event in new {
                last += 1;
                stream
                    .write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes())
                    .ok()?;
            }
            if Instant::now() >= comment_at {
                comment_at += Duration::from_secs(1);
                stream.write_all(b":\n\n").ok()?;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn known(&self) -> Value {
        let events = lock(&self.events);
        json!({"n": events.len(), "events": *events})
    }
}

//! Manages the instances of one process and passes batches of events to them.

use crate::decode;
use crate::error::InputError;
use crate::instance::Instance;
use crate::message::{InputLines, Message};
use crate::reply::ReplyLines;
use corkspan_scheduler::interface::Endpoint;
use corkspan_settings::ticks_from_us;
use std::collections::BTreeMap;
use std::io::BufRead;

/// A list of machines. Events refer to it by its number.
pub type Page = Vec<Endpoint>;

/// Number of lists; they are numbered from 0 to 15.
const PAGE_COUNT: usize = 16;

/// The instances of this process and the lists that their events refer to.
pub struct Session {
    instances: BTreeMap<String, Instance>,
    pages: Vec<Page>,
}

impl Session {
    /// Creates a session without instances.
    pub fn new() -> Self {
        Session {
            instances: BTreeMap::new(),
            pages: vec![Page::new(); PAGE_COUNT],
        }
    }

    /// Processes a batch that occurs at `us` microseconds, up to its end.
    pub fn run_batch(
        &mut self,
        us: u64,
        lines: &mut InputLines<impl BufRead>,
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        let mut selected: Option<String> = None;
        let mut instances_in_batch: Vec<String> = Vec::new();
        loop {
            let message = lines.next_in_batch()?;
            match message.name {
                "END" => break,
                "POOL" => {
                    let page = message.index("page", PAGE_COUNT)?;
                    let length = message.get("hosts")?;
                    self.pages[page] = read_page(lines, length)?;
                }
                "SELECT" => {
                    let name = message.text("dispatcher")?;
                    if !instances_in_batch.iter().any(|other| other == name) {
                        instances_in_batch.push(name.into());
                    }
                    selected = Some(name.into());
                    reply.on_behalf_of(name);
                }
                _ => {
                    let name = selected
                        .as_ref()
                        .ok_or_else(|| message.invalid("no SELECT precedes it"))?;
                    self.handle_event(us, name, &message, reply)?;
                }
            }
        }
        for name in instances_in_batch {
            if let Some(instance) = self.instances.get_mut(&name) {
                reply.on_behalf_of(&name);
                instance.poll(ticks_from_us(us), reply);
            }
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        us: u64,
        name: &str,
        message: &Message,
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        match message.name {
            "BOOT" => {
                let instance = Instance::start(ticks_from_us(us), message)?;
                self.instances.insert(name.into(), instance);
            }
            "DETACH" => {
                self.instances.remove(name);
            }
            _ => {
                let instance = self
                    .instances
                    .get_mut(name)
                    .ok_or_else(|| message.invalid(format!("{name} has not been started")))?;
                instance.handle_event(us, message, &self.pages, reply)?;
            }
        }
        Ok(())
    }
}

fn read_page(lines: &mut InputLines<impl BufRead>, length: usize) -> Result<Page, InputError> {
    let mut page = Page::new();
    for _ in 0..length {
        let message = lines.next_in_batch()?;
        if message.name != "NODE" {
            return Err(message.unexpected());
        }
        page.push(decode::endpoint(&message)?);
    }
    Ok(page)
}

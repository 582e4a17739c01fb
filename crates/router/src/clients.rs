//! Connections of clients: lines in, answers out, and the tasks open on each.

use crate::jsonrpc;
use crate::ring::{Filled, Ring};
use crate::slots::{Slot, Slots};
use crate::works::Wire;
use emberflow::TaskId;
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

/// Open tasks that a connection carries.
pub const MOST_OPEN: usize = 32;

pub struct Client {
    pub wire: Wire,
    input: Ring,
    output: Ring,
    /// Bytes at the front of the input that hold no line's end.
    scanned: usize,
    /// By the id on this connection.
    pub open: BTreeMap<u64, TaskId>,
    /// When it last had something to say or was answered.
    active: Duration,
    /// Nothing more is taken from it; it closes once all is answered.
    deaf: bool,
    /// Nothing more will come from it.
    shut: bool,
}

/// What a connection's turn at reading came to.
pub enum Heard {
    Line(Vec<u8>),
    TooLong,
    /// Read and thrown away.
    Passed,
    Nothing,
    Closed,
}

#[derive(Default)]
pub struct Clients {
    pub table: Slots<Client>,
    /// In one line, and unread among the answers to all.
    pub most_bytes: usize,
    pub most_owed: usize,
}

impl Clients {
    pub fn admit(&mut self, wire: Wire, now: Duration) -> Slot {
        let (input, output, open) = (Ring::default(), Ring::default(), BTreeMap::new());
        self.table.insert(Client {
            wire,
            input,
            output,
            scanned: 0,
            open,
            active: now,
            deaf: false,
            shut: false,
        })
    }

    /// Of those that wait for nothing, the one that has for longest.
    pub fn idlest(&self) -> Option<Slot> {
        let idle = self.table.iter().filter(|(_, c)| c.open.is_empty() && c.output.is_empty());
        idle.min_by_key(|(_, client)| client.active).map(|(slot, _)| slot)
    }

    /// Where more is unread among the answers than the memory bears: the client that reads least of them.
    pub fn swollen(&self) -> Option<Slot> {
        let owed: usize = self.table.iter().map(|(_, client)| client.output.len()).sum();
        let most = self.table.iter().max_by_key(|(_, client)| client.output.len());
        most.filter(|_| owed > self.most_owed).map(|(slot, _)| slot)
    }

    /// The next line. A client that does not read its answers is not read from either.
    pub fn hear(&mut self, slot: Slot, now: Duration) -> Heard {
        let most = self.most_bytes;
        let Some(client) = self.table.get_mut(slot) else { return Heard::Nothing };
        loop {
            if client.output.len() > most {
                return Heard::Nothing;
            }
            if client.shut {
                let failed = !matches!(client.wire.socket.take_error(), Ok(None));
                return if failed { Heard::Closed } else { Heard::Nothing };
            }
            if client.deaf {
                client.input.consume(client.input.len());
                match client.input.fill(&mut &*client.wire.socket, most) {
                    Ok(Filled::Enough) => return Heard::Passed,
                    Ok(Filled::Drained) => return Heard::Nothing,
                    Ok(Filled::Closed) => client.shut = true,
                    Err(_) => return Heard::Closed,
                }
                continue;
            }
            if let Some((line, length)) = jsonrpc::line(client.input.readable(), client.scanned) {
                let line = line.to_vec();
                client.input.consume(length);
                (client.scanned, client.active) = (0, now);
                return Heard::Line(line);
            }
            client.scanned = client.input.len();
            if client.scanned >= most {
                client.deaf = true;
                return Heard::TooLong;
            }
            let before = client.input.len();
            match client.input.fill(&mut &*client.wire.socket, most) {
                Err(_) => return Heard::Closed,
                Ok(_) if client.input.len() > before => {}
                // It may have shut one direction only: what is open is still owed.
                Ok(Filled::Closed) => client.shut = true,
                Ok(_) => return Heard::Nothing,
            }
        }
    }

    pub fn say(&mut self, slot: Slot, line: &[u8]) -> io::Result<()> {
        let Some(client) = self.table.get_mut(slot) else { return Ok(()) };
        client.output.push(line);
        client.output.drain(&mut &*client.wire.socket)
    }

    pub fn flush(&mut self, slot: Slot) -> io::Result<()> {
        self.say(slot, b"")
    }

    pub fn answered(&mut self, slot: Slot, id: u64) {
        if let Some(client) = self.table.get_mut(slot) {
            client.open.remove(&id);
        }
    }

    /// One that can't be read on and is owed nothing more.
    pub fn finished(&self) -> Option<Slot> {
        let done = |c: &Client| (c.deaf || c.shut) && c.open.is_empty() && c.output.is_empty();
        self.table.iter().find(|(_, client)| done(client)).map(|(slot, _)| slot)
    }

    /// Whether all that was said has left.
    pub fn all_said(&self) -> bool {
        self.table.iter().all(|(_, client)| client.output.is_empty())
    }
}

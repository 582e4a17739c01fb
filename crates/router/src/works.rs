//! What every part of the router uses: the clock, the deadlines, the counters, and the loop's ear.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::front::Front;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

pub struct Works {
    pub clock: Clock,
    pub deadlines: Deadlines,
    pub counters: Counters,
    pub ear: LoopHandle<'static, Front>,
}

/// A connection's socket and its place in the loop, which it leaves when it is dropped.
pub struct Wire {
    pub socket: Rc<TcpStream>,
    token: RegistrationToken,
    ear: LoopHandle<'static, Front>,
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.ear.remove(self.token);
    }
}

impl Works {
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Has `ready` called at every change of what the socket can do.
    pub fn attend(&self, socket: TcpStream, ready: impl Fn(&mut Front) + 'static) -> io::Result<Wire> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let heard = move |_, _: &mut _, front: &mut Front| {
            ready(front);
            Ok(PostAction::Continue)
        };
        let token = self.ear.insert_source(source, heard).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Wire { socket, token, ear: self.ear.clone() })
    }

    /// Begins a connection; it has come up once its socket can be written to.
    pub fn dial(&self, to: SocketAddr, ready: impl Fn(&mut Front) + 'static) -> io::Result<Wire> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        self.attend(socket.into(), ready)
    }
}

/// Whether a dialled connection has come up; an error if it failed.
pub fn has_come_up(socket: &TcpStream) -> io::Result<bool> {
    if let Some(error) = socket.take_error()? {
        return Err(error);
    }
    match socket.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(e),
    }
}

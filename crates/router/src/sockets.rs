//! Sockets and their place in a loop.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// A connection's socket and its place in the loop, which it leaves when it is dropped.
pub struct RegisteredSocket<T: 'static> {
    pub socket: Rc<TcpStream>,
    token: RegistrationToken,
    loop_handle: LoopHandle<'static, T>,
}

impl<T> Drop for RegisteredSocket<T> {
    fn drop(&mut self) {
        self.loop_handle.remove(self.token);
    }
}

/// Listens at an address. As many connections may wait to be accepted as a process holds: those beyond are begun
/// anew by their clients, a second or more later.
pub fn listen(at: SocketAddr, most: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(most.try_into().unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

impl<T> RegisteredSocket<T> {
    /// Has `ready` called at every change of what the socket can do.
    pub fn attend(
        loop_handle: &LoopHandle<'static, T>,
        socket: TcpStream,
        ready: impl Fn(&mut T) + 'static,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let heard = move |_, _: &mut _, router_loop: &mut T| {
            ready(router_loop);
            Ok(PostAction::Continue)
        };
        let token = loop_handle.insert_source(source, heard).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Self { socket, token, loop_handle: loop_handle.clone() })
    }

    /// Begins a connection; it has come up once its socket can be written to.
    pub fn dial(
        loop_handle: &LoopHandle<'static, T>,
        to: SocketAddr,
        ready: impl Fn(&mut T) + 'static,
    ) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(to), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&to.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        Self::attend(loop_handle, socket.into(), ready)
    }

    /// Whether a dialled connection has come up; an error if it failed.
    pub fn has_come_up(&self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => Ok(true),
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(e) => Err(e),
        }
    }
}

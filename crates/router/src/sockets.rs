//! Non-blocking sockets and their registration with an event loop.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

/// A connection's socket and its registration with the event loop. The registration ends when this value is dropped.
pub struct RegisteredSocket<T: 'static> {
    /// The socket, shared with its event source.
    pub socket: Rc<TcpStream>,
    token: RegistrationToken,
    loop_handle: LoopHandle<'static, T>,
}

impl<T> Drop for RegisteredSocket<T> {
    fn drop(&mut self) {
        self.loop_handle.remove(self.token);
    }
}

/// Returns the time since the last bytes of a connection arrived, as the kernel reports it in milliseconds; zero if the
/// time is unknown, or less than 1 ms.
pub fn time_since_last_arrival(socket: &TcpStream) -> Duration {
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    let mut info = std::mem::MaybeUninit::<libc::tcp_info>::zeroed();
    // SAFETY: `length` is the size of the buffer, and any bytes are a valid `tcp_info`, zeros included.
    let (result, info) = unsafe {
        let buffer = info.as_mut_ptr().cast();
        let result =
            libc::getsockopt(socket.as_raw_fd(), libc::IPPROTO_TCP, libc::TCP_INFO, buffer, &raw mut length);
        (result, info.assume_init())
    };
    let is_known = result == 0 && info.tcpi_last_data_recv > 0;
    if is_known { Duration::from_millis(info.tcpi_last_data_recv.into()) } else { Duration::ZERO }
}

/// Opens a non-blocking listening socket. `backlog` should be the limit of connections: with a shorter backlog, the
/// kernel would drop connections under load, and their clients would retry only after a second or more.
///
/// # Errors
/// Returns the error of the first system call that fails.
pub fn listen(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog.try_into().unwrap_or(i32::MAX))?;
    Ok(socket.into())
}

impl<T> RegisteredSocket<T> {
    /// Makes a socket non-blocking and registers it with the event loop. The loop calls `on_ready` whenever the socket
    /// becomes readable or writable.
    ///
    /// # Errors
    /// Fails if the socket cannot be configured or registered.
    pub fn register(
        loop_handle: &LoopHandle<'static, T>,
        socket: TcpStream,
        on_ready: impl Fn(&mut T) + 'static,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::BOTH, Mode::Edge);
        let callback = move |_, _: &mut _, data: &mut T| {
            on_ready(data);
            Ok(PostAction::Continue)
        };
        let token = loop_handle
            .insert_source(source, callback)
            .map_err(|error| io::Error::other(error.to_string()))?;
        Ok(Self { socket, token, loop_handle: loop_handle.clone() })
    }

    /// Begins to connect to an address, and registers the socket. The connection is established once the socket is
    /// writable.
    ///
    /// # Errors
    /// Fails if the socket cannot be opened or registered, or if connecting fails at once.
    pub fn dial(
        loop_handle: &LoopHandle<'static, T>,
        address: SocketAddr,
        on_ready: impl Fn(&mut T) + 'static,
    ) -> io::Result<Self> {
        let socket =
            Socket::new(Domain::for_address(address), Type::STREAM.nonblocking(), Some(Protocol::TCP))?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(error) if error.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(error) => return Err(error),
        }
        Self::register(loop_handle, socket.into(), on_ready)
    }

    /// Whether a dialled connection is established.
    ///
    /// # Errors
    /// Returns the error if connecting has failed.
    pub fn is_established(&self) -> io::Result<bool> {
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }
}

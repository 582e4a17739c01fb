//! The listening socket, and the causes of a failed accept.

use crate::config::RouterConfig;
use crate::error::ServeError;
use crate::sockets::listen;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;

/// The listening socket and its registration with the event loop.
pub(super) struct Listener {
    /// The listening socket, shared with its event source.
    pub socket: Rc<TcpListener>,
    /// The registration with the event loop, which is disabled while accepting is paused.
    pub token: RegistrationToken,
}

impl Listener {
    /// Listens at the configured address. The loop calls `on_ready` while connections wait to be accepted.
    ///
    /// # Errors
    /// Fails if the socket cannot be opened or registered.
    pub fn open<T>(
        loop_handle: &LoopHandle<'static, T>,
        config: &RouterConfig,
        on_ready: impl Fn(&mut T) + 'static,
    ) -> Result<Self, ServeError> {
        let address = config.listen_address;
        let listen_error = |source| ServeError::Listen { address, source };
        let socket = listen(address, config.max_descriptors).map_err(listen_error)?;
        let local_address = socket.local_addr().map_err(listen_error)?;
        log::info!("router listening: name={} address={local_address}", config.name);
        let socket = Rc::new(socket);
        let source = Generic::new(Rc::clone(&socket), Interest::READ, Mode::Level);
        let callback = move |_, _: &mut _, data: &mut T| {
            on_ready(data);
            Ok(PostAction::Continue)
        };
        let inserted = loop_handle.insert_source(source, callback);
        let token = inserted
            .map_err(|error| ServeError::event_loop("registering the listening socket")(error.into()))?;
        Ok(Self { socket, token })
    }
}

/// The causes of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptFailure {
    /// No connection waits to be accepted.
    NoConnection,
    /// The connection failed before it was accepted. More connections may wait.
    ConnectionFailed,
    /// The process has reached its limit of descriptors.
    OutOfDescriptors,
    /// The machine temporarily lacks descriptors, buffers or memory. Unknown errors are counted here.
    OutOfResources,
}

impl AcceptFailure {
    /// Classifies an error of `accept`. On Linux, `accept` also returns network errors that are pending on the new
    /// connection.
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EAGAIN) => Self::NoConnection,
            Some(libc::EMFILE) => Self::OutOfDescriptors,
            Some(
                libc::ECONNABORTED
                | libc::EINTR
                | libc::ENETDOWN
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
                | libc::ETIMEDOUT,
            ) => Self::ConnectionFailed,
            _ => Self::OutOfResources,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;

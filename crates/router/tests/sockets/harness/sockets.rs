//! Sockets of the test peers, and the times for which tests wait for them.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Time for which a test waits for an event before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of polling a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Returns the next connection to a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a listener can be non-blocking");
    for _ in 0..TEST_TIMEOUT.as_millis() {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).expect("a socket can be blocking");
            return with_test_timeout(socket);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("no connection within {TEST_TIMEOUT:?}");
}

/// Sets the options that every socket of a test peer has.
pub fn with_test_timeout(socket: TcpStream) -> TcpStream {
    socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket takes a read timeout");
    socket.set_nodelay(true).expect("a socket takes TCP_NODELAY");
    socket
}

/// Returns the address at which a listener accepts connections, with the port that the kernel chose.
pub fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("a bound listener has an address")
}

/// Returns the local address of a connection.
pub fn local_address_of(socket: &TcpStream) -> SocketAddr {
    socket.local_addr().expect("a connected socket has an address")
}

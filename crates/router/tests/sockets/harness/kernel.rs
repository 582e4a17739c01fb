//! What the kernel tells of the router's process and of the sockets around it. Tests wait for it instead of for a
//! time: on a busy machine, what one side of a loopback connection has written may reach the other later.

use super::{POLL_INTERVAL, RouterHarness, TestClient, TestEngine, local_address_of};
use std::net::{IpAddr, SocketAddr};

/// Sockets that are full change no more; they count as settled after so many looks without a change.
const UNCHANGED_LOOKS: usize = 50;
/// A process that sleeps with nothing on its way to it is idle after so many looks.
const IDLE_LOOKS: usize = 50;
/// The state of a socket whose connection is not yet established, in `/proc/net/tcp`.
const SYN_RECEIVED: &str = "03";

/// A row of `/proc/net/tcp`.
#[derive(Clone, Debug, PartialEq)]
struct TcpSocket {
    local: String,
    remote: String,
    state: String,
    /// Bytes written that the other side's kernel has not acknowledged, with one for the end of the stream.
    unacknowledged: u64,
}

impl TcpSocket {
    fn parse(row: &str) -> Option<Self> {
        let mut columns = row.split_whitespace().skip(1);
        let mut next_column = || columns.next().map(str::to_owned);
        let (local, remote, state, queues) = (next_column()?, next_column()?, next_column()?, next_column()?);
        let (unacknowledged, _) = queues.split_once(':')?;
        let unacknowledged = u64::from_str_radix(unacknowledged, 16).ok()?;
        Some(Self { local, remote, state, unacknowledged })
    }

    fn is_settled(&self) -> bool {
        self.unacknowledged == 0 && self.state != SYN_RECEIVED
    }
}

/// All IPv4 sockets of this network namespace.
fn tcp_sockets() -> Vec<TcpSocket> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists its sockets");
    table.lines().filter_map(TcpSocket::parse).collect()
}

/// A host as `/proc/net/tcp` writes it, with the separator before the port.
fn host_prefix(address: SocketAddr) -> String {
    let IpAddr::V4(host) = address.ip() else { panic!("tests use IPv4 addresses only") };
    format!("{:08X}:", u32::from_ne_bytes(host.octets()))
}

/// An address as `/proc/net/tcp` writes it.
fn row_address(address: SocketAddr) -> String {
    format!("{}{:04X}", host_prefix(address), address.port())
}

impl RouterHarness {
    /// The state of the router's process as `/proc` names it: `T` for stopped, `S` for asleep.
    pub fn process_state(&self) -> char {
        let path = format!("/proc/{}/stat", self.process.id());
        let stat = std::fs::read_to_string(path).expect("the process is there");
        let (_, fields) = stat.rsplit_once(") ").expect("the command's name is in parentheses");
        fields.chars().next().expect("the state follows the command's name")
    }

    /// The sockets on which the test's peers write to the router, and its connections that are not yet established.
    fn sockets_to_router(&self) -> Vec<TcpSocket> {
        let router = row_address(self.address);
        let host = host_prefix(self.address);
        let is_client = |socket: &TcpSocket| socket.remote == router;
        let is_engine_or_discovery =
            |socket: &TcpSocket| socket.local.starts_with(&host) && socket.local != router;
        let is_pending = |socket: &TcpSocket| socket.local == router && socket.state == SYN_RECEIVED;
        let sockets = tcp_sockets().into_iter();
        sockets
            .filter(|socket| is_client(socket) || is_engine_or_discovery(socket) || is_pending(socket))
            .collect()
    }

    /// Waits until all that was written to the router has reached its sockets, or those are full.
    pub fn wait_until_delivered(&self) {
        let mut unchanged_looks = 0;
        let mut previous = Vec::new();
        while unchanged_looks < UNCHANGED_LOOKS {
            let sockets = self.sockets_to_router();
            if sockets.iter().all(TcpSocket::is_settled) {
                return;
            }
            unchanged_looks = if sockets == previous { unchanged_looks + 1 } else { 0 };
            previous = sockets;
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether the router passes on to the engine what a client has sent: true once a command has come, and false
    /// once the router sleeps although all of it was delivered.
    pub fn forwards_from(&self, client: &TestClient, engine: &mut TestEngine) -> bool {
        let client_address = row_address(local_address_of(client.socket()));
        let engine_address = row_address(engine.address());
        let is_between = |socket: &TcpSocket| {
            socket.local == client_address
                || socket.local == engine_address
                || socket.remote == engine_address
        };
        let mut idle_looks = 0;
        while idle_looks < IDLE_LOOKS {
            if engine.has_command_within(POLL_INTERVAL) {
                return true;
            }
            let nothing_on_its_way =
                tcp_sockets().iter().filter(|socket| is_between(socket)).all(TcpSocket::is_settled);
            let is_idle = nothing_on_its_way && self.process_state() == 'S';
            idle_looks = if is_idle { idle_looks + 1 } else { 0 };
        }
        false
    }
}

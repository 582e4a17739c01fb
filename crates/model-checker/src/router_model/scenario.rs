//! The definition of a scenario of the router model, and the configuration of the router.

use std::time::Duration;

/// The timeout that clients send with every request; equals the deadline of every class in [`CONFIGURATION`].
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(320);
/// How long engines remember the idempotency key of a request of class `book`, by [`CONFIGURATION`].
pub const KEY_WINDOW: Duration = Duration::from_millis(200);
/// How long the router stands still: longer than its margin before the end of a key window, and shorter than its margin
/// before a deadline.
pub const STALL: Duration = Duration::from_millis(40);
/// The estimated work of every request, in milliseconds on one core.
pub const REQUEST_WORK_MS: f64 = 20.0;
/// The estimated memory of every request, in MB.
pub const REQUEST_MEMORY_MB: f64 = 300.0;

/// The configuration of the router: one engine kind, an idempotent request class, a non-idempotent one, and one with an
/// idempotency key that is known within a cell.
pub const CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},
"settings":{"instances":1,"myZone":0,"zones":["hall-a"],"kinds":["std-8"],"discovery":"push","tickMs":8,
"categories":[{"name":"lookup","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"repeatable"},
{"name":"post","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"once"},
{"name":"book","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"by_key","keyScope":"cell","windowMs":200}],
"caps":{"cancel":true,"connectTimeoutMs":100,"idleCloseMs":1000,"mostTries":2,"retryAfter":false,"streamsPerConn":32},
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":false,"sizeMb":[16384],"tellsEveryMs":80},
"report":{"how":"none"},"rules":{"fallMs":100,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":400}}}"#;

/// A line that a client may send once.
#[derive(Clone, Copy, Debug)]
pub enum ClientLine {
    /// A request with the id of its JSON-RPC message, its class, and the number that its request id encodes.
    Request { id: u64, class: &'static str, request_number: u64 },
    /// The cancellation of the request whose request id encodes this number.
    Cancel { request_number: u64 },
    /// A line that is not JSON.
    Malformed,
    /// As many bytes as the router accepts in a line, without a line feed.
    Endless,
}

/// A scenario of the router model: its clients and engines, and the transitions that are possible.
pub struct RouterScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// Number of engines, all of which are listed as ready at the start.
    pub engines: u32,
    /// For each client, the lines that it may send, each once and in any order.
    pub client_lines: &'static [&'static [ClientLine]],
    /// Whether clients may close the write side of their connections, or reset them.
    pub clients_leave: bool,
    /// Largest number of engine connections that engines reset or refuse.
    pub max_faults: u8,
    /// Whether the first engine may drain.
    pub drains: bool,
    /// Whether the process may receive the signal to terminate.
    pub terminates: bool,
    /// Whether clients stop reading after a few bytes, and may resume later.
    pub slow_readers: bool,
    /// Largest number of times that the router stands still for [`STALL`], so that it handles its timers late.
    pub max_stalls: u8,
    /// Whether lines arrive in two pieces.
    pub split_lines: bool,
    /// Number of transitions from the initial state at which states are no longer expanded; `None` for no limit.
    pub max_depth: Option<usize>,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
}

impl RouterScenario {
    /// One engine, no client and no faults.
    pub const BASE: RouterScenario = RouterScenario {
        name: "base",
        description: "one engine and no client",
        engines: 1,
        client_lines: &[],
        clients_leave: false,
        max_faults: 0,
        drains: false,
        terminates: false,
        slow_readers: false,
        max_stalls: 0,
        split_lines: false,
        max_depth: None,
        in_short_set: true,
    };
}

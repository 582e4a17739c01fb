//! The shape of a scenario of the router model, and the router's configuration in it.

/// The deadline of every request, in milliseconds.
pub const DEADLINE_MS: u64 = 320;

/// The configuration of the router: one engine kind and three request classes, one of each effect.
pub const CONFIGURATION: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"bulletin":"127.0.0.1:1","known":{"no":0,"items":[]},
"settings":{"instances":1,"myZone":0,"zones":["hall-a"],"kinds":["std-8"],"discovery":"push","tickMs":8,
"categories":[{"name":"lookup","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"repeatable"},
{"name":"post","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"once"},
{"name":"book","onTimeMs":160,"deadlineMs":320,"gain":1,"lateShare":0,"repeat":"by_key","keyScope":"cell","windowMs":200}],
"caps":{"cancel":true,"connectTimeoutMs":100,"idleCloseMs":1000,"mostTries":2,"retryAfter":false,"streamsPerConn":32},
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":false,"sizeMb":[16384],"tellsEveryMs":80},
"report":{"how":"none"},"rules":{"fallMs":100,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":400}}}"#;

/// A line that a client may send, once.
#[derive(Clone, Copy, Debug)]
pub enum ClientLine {
    /// A request, with its id on this connection, its class, and the number that its `req` is made of.
    Request { id: u64, class: &'static str, req: u64 },
    /// The withdrawal of a request.
    Withdraw { req: u64 },
    /// A line that is not JSON.
    Malformed,
    /// As many bytes as a line may have, and no end.
    Endless,
}

/// A scenario of the router model: which clients and engines there are, and what may happen to them.
pub struct RouterScenario {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// How many engines there are.
    pub engines: u32,
    /// What each client may send, in any order.
    pub client_lines: &'static [&'static [ClientLine]],
    /// Whether clients may close the write side of their connections, or reset them.
    pub clients_leave: bool,
    /// How many connections to engines may be reset or refused.
    pub max_faults: u8,
    /// Whether the first engine may drain.
    pub drains: bool,
    /// Whether the process may be asked to terminate.
    pub restarts: bool,
    /// Whether clients read only a few bytes at first, and the rest later.
    pub slow_readers: bool,
    /// Whether lines come in two pieces.
    pub split_lines: bool,
    /// Number of transitions after which no state is expanded; `None` to explore all.
    pub max_depth: Option<usize>,
    /// Whether it belongs to the short set.
    pub in_short_set: bool,
}

impl RouterScenario {
    /// One engine, no client, and nothing that may go wrong.
    pub const BASE: RouterScenario = RouterScenario {
        name: "base",
        description: "one engine and no client",
        engines: 1,
        client_lines: &[],
        clients_leave: false,
        max_faults: 0,
        drains: false,
        restarts: false,
        slow_readers: false,
        split_lines: false,
        max_depth: None,
        in_short_set: true,
    };
}

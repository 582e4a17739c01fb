//! The configurations of the servers.

use crate::random::RandomSource;
use emberflow_router::bootstrap::Bootstrap;
use serde_json::{Value, json};

pub const CLASSES: [&str; 4] = ["lookup", "post", "book", "ingest"];

pub const OPERATORS_FILES: [&str; 2] = [
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.1}, firms: [{name: "north", share: 2}, {name: "south"}],
    list: [{name: "audit", firm: "north", share: 3}, {name: "posting", firm: "north", most_waiting: 3,
    budget: {work_s: 0.5, per_s: 2, burst_s: 1}}, {name: "payroll", firm: "south"}], others: {share: 0.5}}}"#,
    r#"{teams: {waits: {field: "tell_wait", every_s: 0.2}, list: [{name: "audit"}, {name: "payroll",
    most_waiting: 2}], others: {share: 0.5, most_waiting: 4}}}"#,
];

/// Returns a configuration file. The features that it enables depend on `feature_seed`.
pub fn configuration(random: &mut RandomSource, feature_seed: u64) -> Value {
    let strict = feature_seed.is_multiple_of(2);
    let class = |name: &str, repeat: &str, on_time: u64| {
        json!({"name": name, "onTimeMs": on_time, "deadlineMs": on_time * 4, "gain": 1, "lateShare": 0.2,
            "repeat": repeat, "keyScope": "cell", "windowMs": 400, "keepOrder": strict && name == "book"})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "bulletin": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 1, "sockets": random.pick(&[24, 60])},
        "known": {"no": 0, "items": []},
        "settings": {"instances": 1 + random.below(3), "myZone": 0, "zones": ["hall-a", "hall-b"],
            "kinds": ["std-8", "big-32"], "discovery": "push", "tickMs": 8,
            "clientHabits": {"marksRetry": feature_seed.is_multiple_of(3)},
            "categories": [class("lookup", "repeatable", 160), class("post", "once", 240),
                class("book", "by_key", 200), class("ingest", "repeatable", 400)],
            "caps": {"cancel": !feature_seed.is_multiple_of(5), "connectTimeoutMs": 100, "idleCloseMs": 1000,
                "mostTries": 2 + random.below(2), "retryAfter": feature_seed.is_multiple_of(2), "maxRetryAfterMs": 500,
                "streamsPerConn": 1 + random.below(6), "mayDuplicate": !strict, "maxOpen": 48},
            "domain": {"kindCores": [8, 32], "largestShare": 0.4, "lanesCount": strict,
                "sizeMb": [4096, 16384], "tellsEveryMs": 40, "whenShort": "line_up",
                "parallelism": [1, 1, 2, 4], "writesTables": [false, false, false, true],
                "blockedByLoads": [true, false, true, false]},
            "report": {"how": "answers", "names": ["util", "inflight", "queue", "x0", "x1"]},
            "rules": {"fallMs": 100, "overloadFactor": 2.5, "startCapacity": 0.3, "warmUpMs": 400}}})
}

/// Decodes a configuration file and, if given, an operator's file.
pub fn bootstrap(file: &Value, operators_file: Option<&str>) -> Bootstrap {
    let mut bootstrap = Bootstrap::read(file, None).expect("the configuration is valid");
    if let Some(text) = operators_file {
        bootstrap.read_operator_file(text).expect("the operator's file is valid");
    }
    bootstrap
}

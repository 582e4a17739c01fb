//! Checks that refactorings do not change behaviour. Random scenarios are drawn from seeds and run on the server
//! without sockets or clock. One digest covers all that the server's peers observe: the bytes on each connection, the
//! connections that are dialled and closed, and the time of the next timer. Log lines are not in the digest.

mod clients;
mod configuration;
mod discovery;
mod engines;
mod random;
mod recorder;
mod scenario;
mod streams;

use expect_test::expect;
use recorder::Recorder;
use scenario::Scenario;
use sha2::Digest;

const SCENARIOS: u64 = 160;

/// The minimum number of times that each case must occur in the scenarios, so that the digest covers it. A case has the
/// name of an observation of the recorder, or of a counter of the server.
const MINIMUM_COUNTS: [(&str, u64); 41] = [
    ("results", 1000),
    ("status", 200),
    ("wait announced", 200),
    ("retry-after named", 200),
    ("error -32000", 200),
    ("error -32011", 1000),
    ("error -32600", 100),
    ("error -32601", 50),
    ("error -32602", 100),
    ("error -32700", 50),
    ("engine receives GET", 2000),
    ("engine receives PAGE", 200),
    ("engine receives DROP", 500),
    ("engine receives CLOSE", 30),
    ("engine receives PING", 300),
    ("attempts retried", 300),
    ("connections dialled", 500),
    ("connections refused", 50),
    ("connections closed", 200),
    ("clients closed", 300),
    ("clients_idle", 20),
    ("clients_stalled", 10),
    ("complete lists", 100),
    ("list changes", 100),
    ("lists refused", 10),
    ("reloads", 50),
    ("graceful shutdowns", 30),
    ("processes ended", 10),
    ("requests_cancelled", 500),
    ("requests_rejected_at_admission", 200),
    ("attempts_overloaded", 200),
    ("attempts_failed", 100),
    ("attempts_timed_out", 200),
    ("attempts_unreachable", 200),
    ("attempts_broken", 200),
    ("attempts_not_sent", 200),
    ("attempts_lapsed", 20),
    ("attempts_cancelled_before_retry", 200),
    ("connections_silent", 100),
    ("engine_input_malformed", 50),
    ("engine_input_cut_short", 50),
];

#[test]
fn the_digest_of_what_peers_observe_is_unchanged() {
    let mut recorder = Recorder::default();
    (0..SCENARIOS).for_each(|seed| Scenario::new(seed, &mut recorder).run());
    let Recorder { digest, observed, server_counters } = recorder;
    for (kind, minimum) in MINIMUM_COUNTS {
        let times = observed.get(kind).or(server_counters.get(kind)).copied().unwrap_or_default();
        assert!(times >= minimum, "only {times} times: {kind}");
    }
    let observed: String = observed.iter().map(|(kind, count)| format!("{kind}: {count}\n")).collect();
    let digest: String = digest.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
    expect![[r#"
        attempts retried: 869
        clients closed: 1679
        complete lists: 469
        connections closed: 7198
        connections dialled: 8147
        connections refused: 539
        engine receives CLOSE: 105
        engine receives DROP: 2967
        engine receives GET: 8115
        engine receives PAGE: 610
        engine receives PING: 2891
        engine sends DANCE: 40
        engine sends FAULT: 293
        engine sends HIT: 3625
        engine sends INFO: 1240
        engine sends LATE: 166
        engine sends SHED: 552
        error -32000: 1609
        error -32011: 12170
        error -32600: 1020
        error -32601: 194
        error -32602: 728
        error -32700: 406
        graceful shutdowns: 91
        list changes: 516
        lists refused: 35
        processes ended: 24
        reloads: 193
        requests sent: 13675
        results: 2352
        retry-after named: 6003
        status: 768
        wait announced: 1926
        e6131831f36f2b23b742b4cc5cb2c9494b53d21698c9a27bf2f009f6881d213c
    "#]]
    .assert_eq(&format!("{observed}{digest}\n"));
}

//! Tests of the memory that peers can fill.

use crate::harness::*;
use emberflow_peer_protocol::engine::EngineReply;
use expect_test::expect;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Number of requests that a client sends at once, which is the most that a connection carries.
const REQUESTS_PER_CLIENT: u64 = 32;

/// Number of pages that each spoilt result announces.
const SPOILT_PAGES: u32 = 256;
/// Number of rows of each spoilt page. With six bytes a row it has ten times the bytes that the protocol allows.
const SPOILT_PAGE_ROWS: usize = 10_000;

/// Starts a thread in which the engine answers each call with a result of [`SPOILT_PAGES`] pages, and sends each page
/// that is requested but the last one. The thread ends once the flag is set.
fn answer_with_large_pages(mut engine: TestEngine, is_done: Arc<AtomicBool>) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let rows = "x\ty\tz\n".repeat(SPOILT_PAGE_ROWS);
        let result = EngineReply::Result { pages: SPOILT_PAGES, used: None, rows: rows.as_bytes() };
        while !is_done.load(Ordering::Relaxed) {
            if !engine.has_command_within(Duration::from_millis(10)) {
                continue;
            }
            let command = engine.next_command();
            let words: Vec<&str> = command.split(' ').collect();
            match words[..] {
                ["GET", id, ..] => engine.send_if_open(parse_request(id), result),
                ["PAGE", id, number] => {
                    let page: u32 = number.parse().expect("the router requests pages by their numbers");
                    if page + 1 < SPOILT_PAGES {
                        let reply = EngineReply::Page { page, rows: rows.as_bytes() };
                        engine.send_if_open(parse_request(id), reply);
                    }
                }
                _ => {}
            }
        }
    })
}

/// Guards against an engine that fills the router's memory with the pages of spoilt results.
#[test]
fn spoilt_results_of_many_large_pages_do_not_fill_the_memory() {
    const MEMORY_MB: u32 = 64;
    let limits = ResourceLimits { memory_mb: MEMORY_MB, descriptors: 1024 };
    let settings = settings(Duration::from_millis(250), REQUEST_TIMEOUT);
    let mut router = RouterHarness::start_with_short_log(limits, "large-pages", 1, &settings);
    let is_done = Arc::new(AtomicBool::new(false));
    let engine = answer_with_large_pages(router.engine(0), Arc::clone(&is_done));
    let mut clients = router.connect_clients(3);
    for (index, client) in (0..).zip(&mut clients) {
        for number in 1..=REQUESTS_PER_CLIENT {
            client.send_request(index * REQUESTS_PER_CLIENT + number, "lookup");
        }
    }
    let mut errors = 0;
    for client in &mut clients {
        for _ in 0..REQUESTS_PER_CLIENT {
            errors += usize::from(client.read_line().starts_with(r#"{"error":"#));
        }
    }
    let peak_kb = router.peak_memory_kb();
    is_done.store(true, Ordering::Relaxed);
    engine.join().expect("the thread of the engine does not panic");
    assert!(peak_kb < u64::from(MEMORY_MB) * 1024, "the router had {peak_kb} kB of {MEMORY_MB} MB");
    router.record(format!("final answers without a result: {errors}"));
    expect![[r#"
        final answers without a result: 96
        exit status Some(0): held_result_bytes=0
    "#]]
    .assert_eq(&router.finish(&["requests_succeeded", "held_result_bytes"]));
}

/// Guards against clients that fill the router's memory with idempotency keys, which have no limit of their own.
#[test]
fn long_idempotency_keys_count_towards_the_limit_of_open_requests() {
    /// Bytes of each key. The limit of this router is 1 MB, a quarter of its memory.
    const KEY_BYTES: usize = 20_000;
    let limits = ResourceLimits { memory_mb: 4, descriptors: 64 };
    let mut router = RouterHarness::start_with_limits(limits, "long-keys", 1, &ordinary_settings());
    let parameters = json!({"opkey": "k".repeat(KEY_BYTES)});
    let mut clients = router.connect_clients(3);
    for (index, client) in (0..).zip(&mut clients) {
        for number in 1..=REQUESTS_PER_CLIENT {
            client.send_request_with(&parameters, index * REQUESTS_PER_CLIENT + number, "lookup");
        }
    }
    for client in &mut clients {
        for _ in 0..REQUESTS_PER_CLIENT {
            client.read_line();
        }
    }
    expect![[r#"
        exit status Some(0): requests_over_the_limit=44 held_request_bytes=0
    "#]]
    .assert_eq(&router.finish(&["requests_over_the_limit", "held_request_bytes"]));
}

//! Tests of replies that an engine has spoilt, and of the forms of a reply that the protocol allows.

use super::{Fixture, OpenSocket, REQUEST_ID};
use crate::engine_pool::PoolEvent;
use emberflow_peer_protocol::resp::encode_array;
use expect_test::expect;
use std::io::Cursor;

/// A page with one row.
const ROWS: &str = "a\tb\tc\n";

/// Returns a reply to the attempt of a [`Fixture`].
fn reply(kind: &str, fields: &str, body: &str) -> Vec<u8> {
    encode_array(&[REQUEST_ID.as_bytes(), kind.as_bytes(), fields.as_bytes(), body.as_bytes()])
}

/// Returns a reply whose array announces `count` parts in place of four.
fn with_part_count(count: u8, mut reply: Vec<u8>) -> Vec<u8> {
    reply[1] = b'0' + count;
    reply
}

impl Fixture {
    /// Delivers bytes of the engine to the pool, in one read.
    fn receive_bytes(&mut self, bytes: &[u8]) {
        let mut socket = OpenSocket(Cursor::new(bytes.to_vec()));
        self.pool.read(self.connection, &mut socket, &mut self.context);
        self.write();
    }

    /// Describes the end of the attempt, the state of its connection and the counters of rejected and repeated replies.
    fn describe_end(&mut self) -> String {
        let end = match self.next_event() {
            Some(PoolEvent::Ended { ended, body, .. }) => {
                format!("{:?}, {:?} bytes", ended.outcome, body.map(|body| body.len()))
            }
            Some(PoolEvent::Progress { progress, .. }) => format!("{progress:?}"),
            Some(PoolEvent::Written { .. }) | None => "in flight".to_owned(),
        };
        let is_open = self.pool.connections.get(self.connection).is_some();
        let counters = self.context.counters.to_string();
        let counted = counters.split(' ').filter(|counter| counter.starts_with("engine_"));
        format!("{end}; open {is_open} {}", counted.collect::<Vec<_>>().join(" "))
    }
}

/// Returns what becomes of an attempt whose engine sends these replies, in one read.
fn end_after(replies: &[Vec<u8>]) -> String {
    let mut fixture = Fixture::with_written_call();
    fixture.receive_bytes(&replies.concat());
    fixture.describe_end()
}

/// Checks that the replies of each case are rejected: the attempt is broken, its connection closed, and one reply counted.
fn assert_all_rejected(cases: &[(&str, Vec<Vec<u8>>)]) {
    for (name, replies) in cases {
        let expected = "Broken, None bytes; open false engine_input_malformed=1";
        assert_eq!(end_after(replies), expected, "{name}");
    }
}

fn first_of_two() -> Vec<u8> {
    reply("HIT", "pages=2", ROWS)
}

fn second() -> Vec<u8> {
    reply("PART", "page=1", ROWS)
}

/// Guards against results without rows because the body lies outside the announced array.
#[test]
fn arrays_of_a_wrong_length_are_rejected_and_never_become_a_result() {
    let good = || reply("HIT", "pages=1,cost=30.0,need=8.0", ROWS);
    let id = REQUEST_ID.as_bytes();
    let without_body = encode_array(&[id, b"HIT", b"pages=1"]);
    let spoilt = [
        ("array of 3", vec![with_part_count(3, good())]),
        ("array of 2", vec![with_part_count(2, good())]),
        ("array of 0", vec![with_part_count(0, good())]),
        ("array of 5", vec![with_part_count(5, good())]),
        ("no body", vec![without_body]),
        ("second page, array of 3", vec![first_of_two(), with_part_count(3, second())]),
    ];
    assert_all_rejected(&spoilt);
}

/// Guards against results that are served with a part of their pages, and against impossible figures in estimates.
#[test]
fn noise_in_the_fields_is_rejected_and_never_becomes_a_result() {
    let first_page = |fields: &str| vec![reply("HIT", fields, ROWS)];
    let page = |fields: &str| vec![first_of_two(), reply("PART", fields, ROWS)];
    let spoilt = [
        ("no `pages`", first_page("cost=30.0,need=8.0")),
        ("no fields", first_page("-")),
        ("noise for a name", first_page("p#\u{1}z~=2,cost=30.0,need=8.0")),
        ("printable noise for a name", first_page("p#z~=2,cost=30.0,need=8.0")),
        ("noise for another name", first_page("pages=1,c\u{1}st=30.0,need=8.0")),
        ("noise for a separator", first_page("pages=1,cost#30.0,need=8.0")),
        ("noise for a value", first_page("pages=2\u{7f},cost=30.0")),
        ("`pages` twice", first_page("pages=1,pages=2")),
        ("part of a page", first_page("pages=1.9")),
        ("negative `pages`", first_page("pages=-2")),
        ("no `page`", page("-")),
        ("part of a page's number", page("page=1.5")),
        ("negative `page`", page("page=-1")),
        ("negative cost", first_page("pages=1,cost=-1,need=8.0")),
        ("impossible need", first_page("pages=1,cost=30.0,need=1e300")),
        ("load report of noise", first_page("pages=1,use=util:0.5;~")),
    ];
    assert_all_rejected(&spoilt);
}

/// Guards against results that are put together from replies that contradict each other, and against a second run of a
/// request whose result has begun to arrive.
#[test]
fn contradictory_replies_are_rejected_and_never_become_a_result() {
    const OTHER_ROWS: &str = "x\ty\tz\n";
    let spoilt = [
        ("first of two without rows", vec![reply("HIT", "pages=2", ""), second()]),
        ("second of two without rows", vec![first_of_two(), reply("PART", "page=1", "")]),
        ("another first page", vec![first_of_two(), reply("HIT", "pages=2", OTHER_ROWS), second()]),
        ("another number of pages", vec![first_of_two(), reply("HIT", "pages=3", ROWS)]),
        (
            "another second page",
            vec![reply("HIT", "pages=3", ROWS), second(), reply("PART", "page=1", OTHER_ROWS)],
        ),
        ("rejection after a page", vec![first_of_two(), reply("SHED", "-", "")]),
    ];
    assert_all_rejected(&spoilt);
}

/// Guards against a reading of replies that is stricter than the protocol.
#[test]
fn replies_in_each_form_that_the_protocol_allows_are_used_in_any_pieces() {
    let allowed = [
        ("fields in another order", vec![reply("HIT", "need=8.0,use=util:0.5,cost=30,pages=1", ROWS)]),
        ("no usage", vec![reply("HIT", "pages=1", ROWS)]),
        ("no rows", vec![reply("HIT", "pages=1", "")]),
        ("an unknown field", vec![reply("HIT", "pages=1,rows=3", ROWS)]),
        (
            "pages in another order",
            vec![reply("HIT", "pages=3", ROWS), reply("PART", "page=2", ROWS), reply("PART", "page=1", ROWS)],
        ),
        (
            "copies of pages",
            vec![
                reply("HIT", "pages=3", ROWS),
                reply("HIT", "pages=3,cost=1,need=1", ROWS),
                reply("PART", "page=1", ROWS),
                reply("PART", "page=1", ROWS),
                reply("PART", "page=2", ROWS),
            ],
        ),
        (
            "an unknown id in front",
            vec![encode_array(&[b"0123456789abcdef", b"HIT", b"-", b"x"]), reply("HIT", "pages=1", ROWS)],
        ),
        ("progress without fields", vec![reply("INFO", "-", "")]),
        ("rejection without fields", vec![reply("SHED", "-", "")]),
        ("rejection with a load report", vec![reply("LATE", "use=inflight:7;util:0.61", "")]),
        ("failure after a page", vec![reply("HIT", "pages=2", ROWS), reply("FAULT", "-", "")]),
    ];
    let mut ends = String::new();
    for (name, replies) in &allowed {
        let end = end_after(replies);
        let bytes = replies.concat();
        for split in 1..bytes.len() {
            let mut fixture = Fixture::with_written_call();
            fixture.receive_bytes(&bytes[..split]);
            fixture.receive_bytes(&bytes[split..]);
            assert_eq!(fixture.describe_end(), end, "{name}, split at {split}");
        }
        ends += &format!("{name}: {end}\n");
    }
    expect![[r#"
        fields in another order: Succeeded, Some(6) bytes; open true 
        no usage: Succeeded, Some(6) bytes; open true 
        no rows: Succeeded, Some(0) bytes; open true 
        an unknown field: Succeeded, Some(6) bytes; open true 
        pages in another order: Succeeded, Some(18) bytes; open true 
        copies of pages: Succeeded, Some(18) bytes; open true engine_answers_repeated=2
        an unknown id in front: Succeeded, Some(6) bytes; open true engine_answers_without_attempt=1
        progress without fields: Running; open true 
        rejection without fields: Overloaded, None bytes; open true 
        rejection with a load report: Overloaded, None bytes; open true 
        failure after a page: Failed, None bytes; open true 
    "#]]
    .assert_eq(&ends);
}

//! Lines of clients and the router's answers to them.

use emberflow_peer_protocol::client::{
    ClientRequest, Outcome, Response, RouterMessage, WaitAnnouncement, encode_cancellation,
    encode_status_request, take_line,
};
use emberflow_peer_protocol::request_id;
use serde_json::json;
use std::time::Duration;

fn text(line: Vec<u8>) -> String {
    String::from_utf8(line).expect("lines are UTF-8")
}

#[test]
fn requests_are_lines_of_json_rpc() {
    let id = request_id(0x9b1f_03aa);
    let plain = ClientRequest {
        work_ms: 820.0,
        memory_mb: 96.0,
        ..ClientRequest::new(7, "report", &id, Duration::from_millis(1500), b"select 1")
    };
    let full = ClientRequest {
        memory_mb: 96.5,
        team: Some("audit".to_owned()),
        urgency: Some(2),
        idempotency_key: Some("5c0f".to_owned()),
        is_retry: true,
        further_parameters: [("tell_wait".to_owned(), json!(true))].into_iter().collect(),
        ..plain.clone()
    };
    let lines = [plain.encode(), full.encode(), encode_cancellation(&id), encode_status_request(8)];
    expect_test::expect![[r#"
        {"id":7,"jsonrpc":"2.0","method":"report","params":{"data":"c2VsZWN0IDE=","memory":96,"ms":820.0,"req":"000000009b1f03aa","timeout":1500}}
        {"id":7,"jsonrpc":"2.0","method":"report","params":{"data":"c2VsZWN0IDE=","memory":96.5,"ms":820.0,"opkey":"5c0f","req":"000000009b1f03aa","resent":1,"team":"audit","tell_wait":true,"timeout":1500,"urgency":2}}
        {"jsonrpc":"2.0","method":"withdraw","params":{"req":"000000009b1f03aa"}}
        {"id":8,"jsonrpc":"2.0","method":"status","params":{}}
    "#]]
    .assert_eq(&text(lines.concat()));
}

fn outcome(line: &str) -> Outcome {
    match RouterMessage::decode(line.as_bytes()) {
        Ok(RouterMessage::Response(Response { id: 7, outcome })) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn answers_are_decoded_by_their_outcome() {
    let rows = |rows: &[u8]| Outcome::Result { rows: Some(rows.to_vec()) };
    assert_eq!(outcome(r#"{"jsonrpc":"2.0","id":7,"result":{"data":"MQkyCTMK"}}"#), rows(b"1\t2\t3\n"));
    assert_eq!(outcome(r#"{"id":7,"result":{"data":"?"}}"#), Outcome::Result { rows: None });
    assert_eq!(outcome(r#"{"id":7}"#), Outcome::Result { rows: None });
    assert_eq!(outcome(r#"{"id":7,"result":{"serving":true}}"#), Outcome::Status { is_serving: true });
    let retry_after = Some(Duration::from_millis(200));
    let rejection = r#"{"id":7,"error":{"code":-32011,"message":"full","data":{"holdoff":200}}}"#;
    assert_eq!(outcome(rejection), Outcome::Rejected { retry_after });
    assert_eq!(outcome(r#"{"id":7,"error":{"code":-32011}}"#), Outcome::Rejected { retry_after: None });
    assert_eq!(outcome(r#"{"id":7,"error":{"code":-32000}}"#), Outcome::Failed);
    assert_eq!(outcome(r#"{"id":7,"error":{"code":-32602}}"#), Outcome::Invalid { code: -32602 });
}

#[test]
fn announcements_and_other_messages_answer_nothing() {
    let line =
        r#"{"method":"waiting","params":{"id":7,"leastMs":100,"likelyMs":250,"mostMs":2000,"place":3}}"#;
    let announcement = WaitAnnouncement { id: 7, least_s: 0.1, likely_s: 0.25, most_s: 2.0 };
    assert_eq!(
        RouterMessage::decode(line.as_bytes()).expect("valid JSON"),
        RouterMessage::WaitAnnouncement(announcement)
    );
    assert_eq!(RouterMessage::decode(b"{\"id\":null}\n").expect("valid JSON"), RouterMessage::Other);
    assert!(RouterMessage::decode(b"{").is_err());
}

#[test]
fn lines_are_taken_once_they_are_complete() {
    let mut input = b"{}\n{\"a".to_vec();
    assert_eq!(take_line(&mut input), Some(b"{}\n".to_vec()));
    assert_eq!(take_line(&mut input), None);
    assert_eq!(input, b"{\"a");
}

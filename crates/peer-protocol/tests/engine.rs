//! Commands and replies of engines.

use emberflow_peer_protocol::engine::{
    Call, CallFields, EngineCommand, EngineReply, Progress, UsedResources,
};
use emberflow_peer_protocol::resp::decode_array;
use std::time::Duration;

fn command(text: &str) -> EngineCommand {
    EngineCommand::decode(&text.split(' ').map(str::to_owned).collect::<Vec<_>>())
}

#[test]
fn each_command_is_decoded() {
    let id = || "9b1f".to_owned();
    let fields = "queue=report,budget=1500,uniq=5c0f,mem=96.5,prio=3";
    let call = Call {
        request_id: id(),
        fields: CallFields {
            class: Some("report".to_owned()),
            time_left: Some(Duration::from_millis(1500)),
            idempotency_key: Some("5c0f".to_owned()),
            granted_memory_mb: Some(96.5),
            priority: Some(3),
        },
        statement: "select".to_owned(),
    };
    assert_eq!(command(&format!("GET 9b1f {fields} select")), EngineCommand::Call(call));
    assert_eq!(command("DROP 9b1f"), EngineCommand::Cancel { request_id: id() });
    assert_eq!(
        command("RANK 9b1f 2"),
        EngineCommand::SetPriority { request_id: id(), priority: "2".to_owned() }
    );
    assert_eq!(command("PAGE 9b1f 1"), EngineCommand::ReadPage { request_id: id(), page: "1".to_owned() });
    assert_eq!(command("CLOSE 9b1f"), EngineCommand::ClosePages { request_id: id() });
    assert_eq!(command("PING 0"), EngineCommand::Ping { tag: "0".to_owned() });
    assert_eq!(command("PUT x"), EngineCommand::Unknown(vec!["PUT".to_owned(), "x".to_owned()]));
    assert_eq!(EngineCommand::decode(&[]), EngineCommand::Unknown(Vec::new()));
}

#[test]
fn absent_and_malformed_fields_are_none() {
    assert_eq!(CallFields::decode("-"), CallFields::default());
    assert_eq!(CallFields::decode("budget=soon,mem=0,prio=-1,queues=x"), CallFields::default());
    assert_eq!(command("GET 9b1f"), command("GET 9b1f - "));
}

#[test]
fn each_reply_has_its_name_fields_and_body() {
    let used = Some(UsedResources { work_ms: 20.04, memory_mb: 50.0 });
    let replies = [
        EngineReply::Result { pages: 1, used, rows: b"1\t2\t3\n" },
        EngineReply::Result { pages: 2, used: None, rows: b"" },
        EngineReply::Page { page: 1, rows: b"4\t5\t6\n" },
        EngineReply::Overloaded,
        EngineReply::Failed,
        EngineReply::Expired,
        EngineReply::Progress(None),
        EngineReply::Progress(Some(Progress::FractionDone(0.5))),
        EngineReply::Progress(Some(Progress::MissingMemoryMb(12.5))),
        EngineReply::Progress(Some(Progress::WaitingForMemory)),
        EngineReply::Progress(Some(Progress::WaitingForLoad)),
        EngineReply::Pong,
    ];
    let mut text = String::new();
    for reply in &replies {
        let encoded = reply.encode("9b1f");
        let array = decode_array(&encoded).expect("a well-formed reply").expect("a complete reply");
        assert_eq!(array.encoded_length, encoded.len());
        text += &format!("{:?}\n", array.parts);
    }
    expect_test::expect![[r#"
        ["9b1f", "HIT", "pages=1,cost=20.0,need=50.0", "1\t2\t3\n"]
        ["9b1f", "HIT", "pages=2", ""]
        ["9b1f", "PART", "page=1", "4\t5\t6\n"]
        ["9b1f", "SHED", "-", ""]
        ["9b1f", "FAULT", "-", ""]
        ["9b1f", "LATE", "-", ""]
        ["9b1f", "INFO", "-", ""]
        ["9b1f", "INFO", "detail=advance,v=0.5", ""]
        ["9b1f", "INFO", "detail=disk,v=12.5", ""]
        ["9b1f", "INFO", "detail=stall,v=1", ""]
        ["9b1f", "INFO", "detail=stall,v=2", ""]
        ["9b1f", "PONG", "-", ""]
    "#]]
    .assert_eq(&text);
}

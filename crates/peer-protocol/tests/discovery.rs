//! Frames and the JSON form of the endpoint list.

use emberflow_peer_protocol::discovery::{
    Endpoint, EngineState, FrameKind, SettingNames, decode_resume_event, encode_frame, encode_heartbeat,
    known_list,
};
use std::net::{Ipv4Addr, SocketAddrV4};

fn endpoint() -> Endpoint {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 9), 9090);
    Endpoint {
        state: EngineState::Draining,
        zone: 1,
        kind: 0,
        cell: 2,
        size_permille: 4000,
        up_since_ms: 0x0102_0304_0506,
        ..Endpoint::ready(0x00c4_1f7a, address)
    }
}

#[test]
fn a_frame_has_its_length_number_kind_and_records_of_27_bytes() {
    let frame = encode_frame(41, FrameKind::Changes, &[endpoint()]);
    let expected: [&[u8]; 11] = [
        &[0, 0, 0, 36],
        &[0, 0, 0, 0, 0, 0, 0, 41],
        &[2],
        &[0x00, 0xc4, 0x1f, 0x7a],
        &[10, 1, 0, 9],
        &[0x23, 0x82],
        &[1, 1, 0],
        &[0, 2],
        &[0, 0, 0x0f, 0xa0],
        &[0, 0, 1, 2, 3, 4, 5, 6],
        &[],
    ];
    assert_eq!(frame, expected.concat());
    let complete = encode_frame(1, FrameKind::CompleteList, &[endpoint(), endpoint()]);
    assert_eq!((complete.len(), complete[3], complete[12]), (4 + 9 + 2 * 27, 9 + 2 * 27, 1));
}

#[test]
fn a_heartbeat_has_no_records() {
    assert_eq!(encode_heartbeat(258), [0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 1, 2, 0]);
}

#[test]
fn a_router_is_resumed_once_all_bytes_of_its_number_have_arrived() {
    assert_eq!(decode_resume_event(&[0; 7]), None);
    assert_eq!(decode_resume_event(&[0, 0, 0, 0, 0, 0, 1, 2, 9]), Some(258));
}

#[test]
fn the_configuration_has_the_list_as_one_complete_event() {
    let names = SettingNames { zones: &["west", "east"], kinds: &["std"] };
    let known = known_list(41, &[endpoint()], &names);
    expect_test::expect![[r#"{"items":[{"no":41,"roster":{"complete":true,"members":[{"cell":2,"flavor":"std","host_port":"10.1.0.9:9090","id":"s-00c41f7a","locality":"east","phase":"draining","size":4,"up_since_ms":1108152157446}],"revision":41}}],"no":41}"#]]
        .assert_eq(&known.to_string());
    let small = Endpoint { size_permille: 1500, state: EngineState::Removed, ..endpoint() };
    let member = known_list(1, &[small], &names)["items"][0]["roster"]["members"][0].clone();
    assert_eq!((member["size"].as_f64(), member["phase"].as_str()), (Some(1.5), Some("gone")));
}

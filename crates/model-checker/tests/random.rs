//! Long random runs of scenarios, and generated input for the router's codecs. Seeds are fixed, so that every run
//! checks the same cases.

use emberflow_model_checker::scheduler_model::SchedulerModel;
use emberflow_model_checker::scheduler_model::scenario::{
    IDEMPOTENCY_KEY_EVERYWHERE, IDEMPOTENCY_KEY_IN_CELL, IDEMPOTENCY_KEY_IN_LOCATION, IDEMPOTENT,
    NON_IDEMPOTENT, RequestSpec, SchedulerScenario, engine, request,
};
use emberflow_model_checker::search::Model;
use emberflow_model_checker::{connection_model, router_model, scheduler_model};
use emberflow_peer_protocol::resp::encode_array;
use emberflow_router::bootstrap::Bootstrap;
use emberflow_router::ring::RingBuffer;
use emberflow_router::{discovery, jsonrpc, resp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns a configuration with a fixed seed, for this number of generated cases in each test.
fn fixed_seed_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Takes one enabled transition for each choice; its index is the choice modulo the number of enabled transitions.
/// Returns the violated invariant and the number of transitions before the violation; `None` if all invariants hold.
fn random_run<M: Model>(model: &M, choices: &[u16]) -> Option<(&'static str, usize)> {
    let mut state = model.initial_state();
    for (length, choice) in choices.iter().enumerate() {
        let mut transitions = Vec::new();
        model.transitions(&state, &mut transitions);
        if let Some(invariant) = model.violated_invariant(&state, transitions.is_empty()) {
            return Some((invariant, length));
        }
        let transition = transitions.get(usize::from(*choice) % transitions.len().max(1))?;
        state = model.apply(&state, transition);
    }
    model.violated_invariant(&state, false).map(|invariant| (invariant, choices.len()))
}

const EIGHT_REQUESTS: &[RequestSpec] = &[
    request(IDEMPOTENT),
    request(IDEMPOTENCY_KEY_IN_CELL),
    request(NON_IDEMPOTENT),
    request(IDEMPOTENT),
    request(IDEMPOTENCY_KEY_EVERYWHERE),
    request(IDEMPOTENCY_KEY_IN_LOCATION),
    request(NON_IDEMPOTENT),
    request(IDEMPOTENT),
];

/// A scenario that is too large to explore completely: eight requests, with every kind of idempotency, at five engines in
/// three cells.
static LARGE: SchedulerScenario = SchedulerScenario {
    name: "large",
    engines: &[engine(0, 0), engine(0, 0), engine(0, 1), engine(1, 2), engine(1, 2)],
    requests: EIGHT_REQUESTS,
    max_endpoint_changes: 6,
    max_departures: 2,
    endpoint_changes: scheduler_model::scenarios::SCENARIOS[0].endpoint_changes,
    progress_updates: &[
        emberflow::ProgressUpdate::Running,
        emberflow::ProgressUpdate::WaitingForBulkLoad,
        emberflow::ProgressUpdate::Fraction(0.1),
    ],
    max_progress_updates: 2,
    shuts_down: true,
    list_may_fail: true,
    interchangeable_engines: false,
    ..SchedulerScenario::BASE
};

/// The choices of a run of 300 transitions.
fn random_choices() -> impl Strategy<Value = Vec<u16>> {
    prop::collection::vec(any::<u16>(), 300)
}

/// Returns the messages that a parser reads from bytes that arrive in these pieces, up to and including the first
/// error.
fn parsed_messages<T, E>(
    pieces: &[&[u8]],
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, E>,
) -> Vec<Result<T, E>> {
    let mut ring = RingBuffer::default();
    let mut messages = Vec::new();
    for piece in pieces {
        ring.push(piece);
        loop {
            match parse(ring.contents()) {
                Ok(Some((message, length))) => {
                    ring.consume(length);
                    messages.push(Ok(message));
                }
                Ok(None) => break,
                Err(error) => {
                    messages.push(Err(error));
                    return messages;
                }
            }
        }
    }
    messages
}

/// Bytes that resemble replies of an engine: well-formed arrays of the RESP protocol, mixed with noise.
fn reply_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let part = || prop::collection::vec(any::<u8>(), 0..12);
    let parts = prop_oneof![
        3 => prop::collection::vec(part(), REPLY_PARTS),
        1 => prop::collection::vec(part(), 0..10),
    ];
    let well_formed =
        parts.prop_map(|parts| encode_array(&parts.iter().map(Vec::as_slice).collect::<Vec<_>>()));
    let noise = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..16),
        "[*$][0-9]{0,9}\r?\n?".prop_map(String::into_bytes)
    ];
    prop::collection::vec(prop_oneof![4 => well_formed, 1 => noise], 0..6)
        .prop_map(|replies| replies.concat())
}

/// A reply has an id, a type, fields and a body.
const REPLY_PARTS: usize = 4;
/// Limit of the size of a part, which is longer than any generated one.
const MAX_PART_BYTES: usize = 64 * 1024;
/// Length of a frame's event number and kind, in bytes; the length field of the frame includes them.
const FRAME_HEADER_BYTES: u32 = 9;
/// Length of an engine's record in a frame, in bytes.
const ROW_BYTES: usize = 27;

/// Bytes that resemble frames of the discovery service: frames of a correct length, mixed with noise.
fn frame_like_bytes() -> impl Strategy<Value = Vec<u8>> {
    let frame = (any::<u8>(), 0..3u8, 0..3usize, any::<u8>()).prop_map(|(number, kind, rows, fill)| {
        let rows = if kind == 0 { 0 } else { rows };
        let row_bytes = ROW_BYTES * rows;
        let length = FRAME_HEADER_BYTES + row_bytes as u32;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(u64::from(number).to_be_bytes());
        bytes.push(kind);
        bytes.extend(vec![fill % 4; row_bytes]);
        bytes
    });
    let noise = prop::collection::vec(any::<u8>(), 0..16);
    prop::collection::vec(prop_oneof![4 => frame, 1 => noise], 0..5).prop_map(|parts| parts.concat())
}

proptest! {
    #![proptest_config(fixed_seed_config(64))]

    #[test]
    fn long_runs_of_the_scheduler_violate_no_invariant(choices in random_choices()) {
        prop_assert_eq!(random_run(&SchedulerModel::new(&LARGE), &choices), None);
    }

    #[test]
    fn long_runs_of_connections_and_of_the_router_violate_no_invariant(choices in random_choices(), at in any::<usize>()) {
        let connections = connection_model::scenarios::SCENARIOS;
        let routers = router_model::scenarios::SCENARIOS;
        prop_assert_eq!(random_run(&connections[at % connections.len()], &choices), None);
        prop_assert_eq!(random_run(&routers[at % routers.len()], &choices), None);
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(2000))]

    #[test]
    fn replies_split_anywhere_are_parsed_alike(bytes in reply_like_bytes(), at in any::<usize>()) {
        let parse = |received: &[u8]| {
            let owned = |array: resp::Array<'_, REPLY_PARTS>| (array.parts.map(<[u8]>::to_vec), array.length);
            resp::parse_array(received, &[MAX_PART_BYTES; REPLY_PARTS]).map(|parsed| parsed.map(owned))
        };
        let (front, back) = bytes.split_at(at % (bytes.len() + 1));
        let single_bytes: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(parsed_messages(&[&bytes], parse), parsed_messages(&[front, back], parse));
        prop_assert_eq!(parsed_messages(&[&bytes], parse), parsed_messages(&single_bytes, parse));
    }

    #[test]
    fn frames_split_anywhere_are_parsed_alike(bytes in frame_like_bytes(), at in any::<usize>()) {
        let parse = |received: &[u8]| {
            let endpoints = |event: discovery::EndpointEvent| (event.update, event.endpoints.len());
            let parsed = discovery::parse_frame(received).map_err(|error| error.to_string());
            parsed.map(|parsed| parsed.map(|(frame, length)| ((frame.event_number, frame.event.map(endpoints)), length)))
        };
        let (front, back) = bytes.split_at(at % (bytes.len() + 1));
        prop_assert_eq!(parsed_messages(&[&bytes], parse), parsed_messages(&[front, back], parse));
    }

    #[test]
    fn no_line_of_a_client_causes_a_panic(line in ".{0,200}", id in any::<i64>(), method in "[a-z]{0,8}") {
        let _ = jsonrpc::parse_request(line.as_bytes());
        let text = format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{"data":"{method}"}}}}"#);
        let parsed_id = jsonrpc::parse_request(text.as_bytes()).map(|request| request.id);
        prop_assert_eq!(parsed_id.ok().flatten(), u64::try_from(id).ok().filter(|id| *id > 0));
        let _ = jsonrpc::decode_body(&line);
    }

    #[test]
    fn a_corrupted_configuration_does_not_cause_a_panic(at in any::<usize>(), replacement in "[0-9a-z\"{}\\[\\],:-]{0,3}") {
        let text = router_model::scenario::CONFIGURATION;
        let at = at % text.len();
        let corrupted = format!("{}{replacement}{}", &text[..at], &text[at + 1..]);
        if let Ok(file) = serde_json::from_str(&corrupted) {
            let _ = Bootstrap::read(&file, None);
        }
    }
}

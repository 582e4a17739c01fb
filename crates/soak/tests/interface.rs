//! The names on the command line and the keys of the JSON line. They must stay when names in the code change.

use clap::ValueEnum;
use emberflow_soak::faults::FaultKind;
use emberflow_soak::invariants::{Invariant, Violation};
use emberflow_soak::options::{FaultName, OptionError, SeedRange};
use emberflow_soak::records::Records;
use emberflow_soak::report::Report;
use serde_json::{Value, json};
use std::path::Path;

/// The fault names that `docs/soak.md` documents.
const FAULT_NAMES: &str = "silent mute slow failing truncating spoiling pieces reset late-connect idle-close forget fail-late drain \
                           crash zone discovery-down discovery-silent list term kill stop reload leave burst crowd";

#[test]
fn each_kind_of_fault_has_its_documented_name() {
    let names: Vec<&str> = FAULT_NAMES.split(' ').collect();
    let parsed: Vec<_> = names.iter().map(|name| name.parse()).collect();
    let kinds: Vec<_> = FaultKind::value_variants().iter().map(|kind| Ok(FaultName(Some(*kind)))).collect();
    assert_eq!(parsed, kinds);
    assert_eq!("none".parse(), Ok(FaultName(None)));
    let unknown = OptionError::UnknownFault { name: "silence".to_owned() };
    assert_eq!("silence".parse::<FaultName>(), Err(unknown));
}

#[test]
fn a_range_of_seeds_is_two_numbers() {
    assert_eq!("1..51".parse().map(|range: SeedRange| range.0), Ok(1..51));
    let error =
        |text: &str| text.parse::<SeedRange>().map(|range| range.0).expect_err("the range is invalid");
    assert_eq!(error("7"), OptionError::NotARange);
    assert_eq!(error("7..7"), OptionError::EmptyRange);
    assert_eq!(error("7..x"), OptionError::NotANumber { text: "x".to_owned() });
}

#[test]
fn the_json_line_has_the_keys_that_its_readers_use() {
    let violation =
        Violation { invariant: Invariant::Idle, request: None, description: "no requests".to_owned() };
    let report = Report::new(7, &Records::default(), vec![violation], Path::new("absent"));
    let line: Value = serde_json::from_str(&report.text(true)).expect("a line of JSON");
    let expected = json!({"seed": 7, "requests": 0, "served": 0.0, "rejected": 0, "failed": 0, "attempts": 0,
        "engine_connections": 0, "list_bytes": 0, "cpu_seconds": 0.0, "memory_kb": 0, "descriptors": 0,
        "longest_stall_ms": 0, "violations": {"Idle": 1},
        "first_violations": [{"rule": "Idle", "request": null, "what": "no requests"}]});
    assert_eq!(line, expected);
}

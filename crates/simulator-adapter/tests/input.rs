//! What the adapter does with bad input, and with a short day, told by its output, its messages and its end.

use expect_test::expect;
use std::io::Write;
use std::process::{Command, Stdio};

fn run(input: &str) -> String {
    let host = Command::new(env!("CARGO_BIN_EXE_emberflow-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let mut host = host.expect("the adapter starts");
    host.stdin.take().expect("its input").write_all(input.as_bytes()).expect("it reads");
    let done = host.wait_with_output().expect("it ends");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    format!("{}{}ended well: {}\n", text(done.stdout), text(done.stderr), done.status.success())
}

const PARAMS: &str = r#"{"caps":{"cancel":true,"maxRetryAfterMs":100.0,"mostTries":3,"probes":false,"retryAfter":true},
"categories":[{"deadlineMs":600.0,"gain":1,"lateShare":0,"onTimeMs":100.0,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":false,"sizeMb":[16384.0]},"instances":1,"myZone":0,
"report":{"how":"none","names":[]},"rules":{"fallMs":1000.0,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":9.0},
"tenants":[],"tickMs":5.0,"unheard":{"of":1}}"#;

/// Instances that start with these settings.
fn started(params: &[String]) -> String {
    let line = |(who, params): (usize, &String)| {
        format!(r#"{{"op":"NEW_INSTANCE","who":{who},"rngSeed":5,"params":{}}}"#, params.replace('\n', ""))
            + "\n"
    };
    let lines: String = params.iter().enumerate().map(line).collect();
    run(&format!("{{\"op\":\"BEGIN_BATCH\",\"atTimeMs\":10.0,\"frame\":1}}\n{lines}{{\"op\":\"END\"}}\n"))
}

fn day(events: &str) -> String {
    let params = PARAMS.replace('\n', "");
    run(&format!(
        r#"{{"op":"BEGIN_BATCH","atTimeMs":10.0,"frame":1}}
{{"op":"NEW_INSTANCE","who":3,"rngSeed":5,"params":{params}}}
{{"op":"TABLE","ref":0,"items":[{{"engine":"e:1","site":0,"flavor":0,"cohort":0,"condition":"healthy","launchedMs":null}}]}}
{{"op":"ANNOUNCE","who":3,"mode":"stale_copy","epoch":1,"ref":0}}
{events}
{{"op":"END"}}
"#
    ))
}

#[test]
fn a_request_is_sent_and_the_end_of_input_is_clean() {
    let accept =
        r#"{"op":"ACCEPT","who":3,"ref":"t/a","estimateMs":12.0,"qos":0,"graceMs":240.0,"needMb":384}"#;
    expect![[r#"
        {"importance":1,"memoryGrant":480.0,"op":"PROVIDE","ref":"t/a","who":3}
        {"abandonAtMs":230.0,"engine":"e:1","op":"PASS_ON","ref":"t/a","who":3}
        {"keyBack":0,"offsetMs":40.0,"op":"AFTER","who":3}
        {"frame":1,"op":"READY"}
        ended well: true
    "#]]
    .assert_eq(&day(accept));
}

#[test]
fn bad_lines_are_named_and_nothing_partial_is_passed_off() {
    let bad = [
        "{oops",
        r#"{"op":"DANCE","who":3}"#,
        r#"{"op":"ACCEPT","who":3,"ref":"t/a"}"#,
        r#"{"op":"BELL","who":4,"keyBack":0}"#,
        r#"{"op":"BELL"}"#,
        r#"{"op":"ENDED","who":3,"ref":"t/a","hop":0,"engine":"e:1","result":"maybe"}"#,
    ];
    let said: String = bad.into_iter().map(day).collect();
    expect![[r#"
        emberflow-simulator-adapter: line 5: malformed JSON: key must be a string at line 1 column 2
        ended well: false
        emberflow-simulator-adapter: line 5: unknown `op` DANCE
        ended well: false
        emberflow-simulator-adapter: line 5: `qos` is missing
        ended well: false
        emberflow-simulator-adapter: line 5: event for the unknown instance 4
        ended well: false
        emberflow-simulator-adapter: line 5: `who` is missing
        ended well: false
        emberflow-simulator-adapter: line 5: unknown `result` maybe
        ended well: false
    "#]]
    .assert_eq(&said);
}

#[test]
fn a_panic_is_told_as_a_fault() {
    let out_of_range = r#"{"op":"ACCEPT","who":3,"ref":"t/a","qos":7,"graceMs":240.0}"#;
    let said = day(out_of_range);
    let fault = said.lines().find(|line| line.contains("FAULT")).unwrap_or("no fault");
    assert!(fault.contains("index out of bounds"), "{said}");
    assert!(said.contains(r#"{"frame":1,"op":"READY"}"#), "{said}");
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    expect![[r#"
        emberflow-simulator-adapter: input ended inside a batch
        ended well: false
    "#]]
    .assert_eq(&run("{\"op\":\"BEGIN_BATCH\",\"atTimeMs\":1,\"frame\":1}\n"));
}

#[test]
fn settings_that_make_no_sense_are_named_by_their_path_and_nothing_starts() {
    let changes = [
        (r#""fallMs":1000.0,"#, ""),
        (r#""repeat":"once""#, r#""repeat":"by_key","windowMs":5,"keyScope":"galaxy""#),
        (r#""sizeMb":[16384.0]"#, r#""sizeMb":[16384.0,1.0]"#),
        (r#""how":"none","names":[]"#, r#""how":"answers","names":["q",7]"#),
        (r#""tickMs":5.0"#, r#""tickMs":-5.0"#),
    ];
    let said: String = changes.map(|(from, to)| started(&[PARAMS.replace(from, to)])).concat();
    expect![[r#"
        emberflow-simulator-adapter: line 2: `params.rules.fallMs` is missing
        ended well: false
        emberflow-simulator-adapter: line 2: `params.categories[0].keyScope` is unknown: galaxy
        ended well: false
        emberflow-simulator-adapter: line 2: `params.domain.sizeMb` has 2 rows, not 1, one a kind
        ended well: false
        emberflow-simulator-adapter: line 2: `params.report.names[1]` is not text
        ended well: false
        emberflow-simulator-adapter: line 2: `params.tickMs` is not a time in milliseconds above 0
        ended well: false
    "#]]
    .assert_eq(&said);
}

#[test]
fn a_report_field_of_unknown_name_is_told_once() {
    let params = PARAMS.replace(r#""how":"none","names":[]"#, r#""how":"answers","names":["q","moon"]"#);
    expect![[r#"
        {"frame":1,"op":"READY"}
        emberflow-simulator-adapter: `params.report.names[1]` is unknown: moon, so it goes unread
        ended well: true
    "#]]
    .assert_eq(&started(&[params.clone(), params]));
}

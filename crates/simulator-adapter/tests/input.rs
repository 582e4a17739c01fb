//! The adapter's output, error messages and exit status for a short batch and for invalid input.

use expect_test::expect;
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on `input`; returns its output, its error messages and whether it succeeded.
fn run(input: &str) -> String {
    let adapter = Command::new(env!("CARGO_BIN_EXE_emberflow-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn();
    let mut adapter = adapter.expect("the adapter starts");
    adapter
        .stdin
        .take()
        .expect("the input is piped")
        .write_all(input.as_bytes())
        .expect("the adapter reads its input");
    let done = adapter.wait_with_output().expect("the adapter ends");
    let text = |bytes| String::from_utf8(bytes).expect("the adapter writes UTF-8");
    format!("{}{}success: {}\n", text(done.stdout), text(done.stderr), done.status.success())
}

const PARAMS: &str = r#"{"caps":{"cancel":true,"maxRetryAfterMs":100.0,"mostTries":3,"probes":false,"retryAfter":true},
"categories":[{"deadlineMs":600.0,"gain":1,"lateShare":0,"onTimeMs":100.0,"repeat":"once"}],"discovery":"push",
"domain":{"kindCores":[8],"largestShare":0.4,"lanesCount":false,"sizeMb":[16384.0]},"instances":1,"myZone":0,
"report":{"how":"none","names":[]},"rules":{"fallMs":1000.0,"overloadFactor":2.5,"startCapacity":0.3,"warmUpMs":9.0},
"tenants":[],"tickMs":5.0,"unheard":{"of":1}}"#;

/// Runs a batch that starts one instance with each of these settings.
fn start_instances(settings_of_instances: &[String]) -> String {
    let line = |(who, settings): (usize, &String)| {
        format!(r#"{{"op":"NEW_INSTANCE","who":{who},"rngSeed":5,"params":{}}}"#, settings.replace('\n', ""))
            + "\n"
    };
    let lines: String = settings_of_instances.iter().enumerate().map(line).collect();
    run(&format!("{{\"op\":\"BEGIN_BATCH\",\"atTimeMs\":10.0,\"frame\":1}}\n{lines}{{\"op\":\"END\"}}\n"))
}

/// Runs a batch that starts instance 3, announces one engine, and contains `events`.
fn run_batch(events: &str) -> String {
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
fn a_request_is_sent_and_the_adapter_succeeds_at_the_end_of_input() {
    let accept =
        r#"{"op":"ACCEPT","who":3,"ref":"t/a","estimateMs":12.0,"qos":0,"graceMs":240.0,"needMb":384}"#;
    expect![[r#"
        {"importance":1,"memoryGrant":480.0,"op":"PROVIDE","ref":"t/a","who":3}
        {"abandonAtMs":230.0,"engine":"e:1","op":"PASS_ON","ref":"t/a","who":3}
        {"keyBack":0,"offsetMs":40.0,"op":"AFTER","who":3}
        {"frame":1,"op":"READY"}
        success: true
    "#]]
    .assert_eq(&run_batch(accept));
}

#[test]
fn invalid_lines_are_reported_by_number_and_nothing_is_written() {
    let invalid_lines = [
        "{oops",
        r#"{"op":"DANCE","who":3}"#,
        r#"{"op":"ACCEPT","who":3,"ref":"t/a"}"#,
        r#"{"op":"BELL","who":4,"keyBack":0}"#,
        r#"{"op":"BELL"}"#,
        r#"{"op":"ENDED","who":3,"ref":"t/a","hop":0,"engine":"e:1","result":"maybe"}"#,
    ];
    let printed: String = invalid_lines.into_iter().map(run_batch).collect();
    expect![[r#"
        emberflow-simulator-adapter: line 5: malformed JSON: key must be a string at line 1 column 2
        success: false
        emberflow-simulator-adapter: line 5: unknown operation: `op` is DANCE
        success: false
        emberflow-simulator-adapter: line 5: `qos` is missing
        success: false
        emberflow-simulator-adapter: line 5: unknown instance: `who` is 4, which was not started or was killed
        success: false
        emberflow-simulator-adapter: line 5: `who` is missing
        success: false
        emberflow-simulator-adapter: line 5: unknown outcome of an attempt: `result` is maybe
        success: false
    "#]]
    .assert_eq(&printed);
}

#[test]
fn a_panic_is_reported_as_a_fault() {
    let out_of_range = r#"{"op":"ACCEPT","who":3,"ref":"t/a","qos":7,"graceMs":240.0}"#;
    let printed = run_batch(out_of_range);
    let fault = printed.lines().find(|line| line.contains("FAULT")).unwrap_or("no fault");
    assert!(fault.contains("index out of bounds"), "{printed}");
    assert!(printed.contains(r#"{"frame":1,"op":"READY"}"#), "{printed}");
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    expect![[r#"
        emberflow-simulator-adapter: input ended inside a batch, expected `END` first
        success: false
    "#]]
    .assert_eq(&run("{\"op\":\"BEGIN_BATCH\",\"atTimeMs\":1,\"frame\":1}\n"));
}

#[test]
fn invalid_settings_are_reported_by_their_path_and_nothing_starts() {
    let changes = [
        (r#""fallMs":1000.0,"#, ""),
        (r#""repeat":"once""#, r#""repeat":"by_key","windowMs":5,"keyScope":"galaxy""#),
        (r#""sizeMb":[16384.0]"#, r#""sizeMb":[16384.0,1.0]"#),
        (r#""how":"none","names":[]"#, r#""how":"answers","names":["q",7]"#),
        (r#""tickMs":5.0"#, r#""tickMs":-5.0"#),
    ];
    let printed: String = changes.map(|(from, to)| start_instances(&[PARAMS.replace(from, to)])).concat();
    expect![[r#"
        emberflow-simulator-adapter: line 2: `params.rules.fallMs` is missing
        success: false
        emberflow-simulator-adapter: line 2: `params.categories[0].keyScope` must be one of `all`, `zone`, `cell`, found `galaxy`
        success: false
        emberflow-simulator-adapter: line 2: `params.domain.sizeMb` must have one element for each kind (1), found 2
        success: false
        emberflow-simulator-adapter: line 2: `params.report.names[1]` is not text
        success: false
        emberflow-simulator-adapter: line 2: `params.tickMs` must be a time in milliseconds above 0, found -5.0
        success: false
    "#]]
    .assert_eq(&printed);
}

#[test]
fn an_unknown_figure_of_a_load_report_is_reported_once() {
    let params = PARAMS.replace(r#""how":"none","names":[]"#, r#""how":"answers","names":["q","moon"]"#);
    expect![[r#"
        {"frame":1,"op":"READY"}
        emberflow-simulator-adapter: `params.report.names[1]` is not a known figure of a load report: moon (ignored)
        success: true
    "#]]
    .assert_eq(&start_instances(&[params.clone(), params]));
}

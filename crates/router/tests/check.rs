//! Tests of the output of `emberflow check` and `serve` for the configuration in the README, which is valid, and for
//! invalid ones.

use expect_test::expect;
use std::process::Command;

/// Extracts the example configuration from the README: the first indented JSON text, up to the next empty line.
fn readme_configuration() -> String {
    let text = include_str!("../../../README.md");
    let lines = text.lines().skip_while(|line| !line.starts_with("    {\"name\":"));
    lines.take_while(|line| !line.is_empty()).collect()
}

/// Runs the binary on a configuration file. Returns the exit code and the output, in which `FILE` replaces the path.
/// `name` is the file's name, which must differ between tests, since they run at the same time.
fn run(arguments: &[&str], name: &str, configuration: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, configuration).expect("the test directory is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_emberflow"));
    command.args(arguments).arg(&path).env_remove("EDGE_LISTEN");
    let output = command.output().expect("the binary starts");
    let printed = String::from_utf8([output.stdout, output.stderr].concat()).expect("the output is UTF-8");
    format!("{:?} {}", output.status.code(), printed.replace(&*path.to_string_lossy(), "FILE"))
}

#[test]
fn the_configuration_of_the_readme_is_valid() {
    expect![[r#"
        Some(0) n0: listen 127.0.0.1:9090, discovery 127.0.0.1:9092
        limits: 192 MB, 1024 descriptors
        fleet: 1 routers, 1 engines at event 1
        1 engine kinds: std-8
        1 request classes: lookup
    "#]]
    .assert_eq(&run(&["check"], "readme", &readme_configuration()));
}

#[test]
fn an_unknown_report_field_is_reported_and_ignored() {
    expect![[r#"
        Some(0) n0: listen 127.0.0.1:9090, discovery 127.0.0.1:9092
        limits: 192 MB, 1024 descriptors
        fleet: 1 routers, 1 engines at event 1
        1 engine kinds: std-8
        1 request classes: lookup
        `settings.report.names[2]` is not a known figure of a load report: moon (ignored)
    "#]]
    .assert_eq(&run(&["check"], "moon", &readme_configuration().replace("\"x1\"", "\"moon\"")));
}

#[test]
fn errors_are_reported_by_their_path_and_nothing_starts() {
    let invalid_values = [
        ("\"repeatable\"", "\"by_key\""),
        ("\"repeatable\"", "\"by_key\",\"keyScope\":\"galaxy\",\"windowMs\":100"),
        ("\"kinds\":[\"std-8\"]", "\"kinds\":[\"std-8\",\"std-16\"]"),
        ("\"zones\":[\"hall-a\"]", "\"zones\":[\"hall-a\",\"hall-a\"]"),
        ("\"myZone\":0", "\"myZone\":1"),
        ("\"locality\":\"hall-a\"", "\"locality\":\"hall-z\""),
        ("\"s-00000001\"", "\"1\""),
        ("\"127.0.0.1:9191\"", "\"somewhere\""),
        ("\"q\",", "7,"),
        ("\"answers\"", "\"pigeon\""),
        ("\"connectTimeoutMs\":250", "\"connectTimeoutMs\":-1"),
        ("\"streamsPerConn\":32", "\"mayDuplicate\":\"no\",\"streamsPerConn\":32"),
        ("\"warmUpMs\":15000", "\"spareAttempts\":3,\"warmUpMs\":15000"),
    ];
    let mut reports = String::new();
    for (valid, invalid) in invalid_values {
        let configuration = readme_configuration().replace(valid, invalid);
        assert_ne!(configuration, readme_configuration(), "the README does not contain {valid}");
        let report = run(&["check"], "invalid", &configuration);
        assert_eq!(report, run(&["serve", "--config"], "invalid", &configuration));
        reports += &report;
    }
    expect![[r#"
        Some(1) emberflow: FILE: `settings.categories[0].keyScope` is missing
        Some(1) emberflow: FILE: `settings.categories[0].keyScope` must be one of `all`, `zone`, `cell`, found `galaxy`
        Some(1) emberflow: FILE: `settings.kinds` must have one element for each kind (1), found 2
        Some(1) emberflow: FILE: `settings.zones[1]` repeats the name hall-a, which must be unique in the list
        Some(1) emberflow: FILE: `settings.myZone` must be an index below 1, found 1
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].locality` must be a name that the settings list, found hall-z
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].id` must be `s-` with a hexadecimal number of up to 32 bits, found "1"
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].host_port` must be an IP address with a port, found "somewhere"
        Some(1) emberflow: FILE: `settings.report.names[1]` is not text
        Some(1) emberflow: FILE: `settings.report.how` must be one of `answers`, `probe`, `none`, found `pigeon`
        Some(1) emberflow: FILE: `settings.caps.connectTimeoutMs` must be a time in milliseconds from 0 up, found -1
        Some(1) emberflow: FILE: `settings.caps.mayDuplicate` must be true or false, found "no"
        Some(1) emberflow: FILE: `settings.rules.spareAttempts` requires `countedOverMs`, which is missing
    "#]]
    .assert_eq(&reports);
}

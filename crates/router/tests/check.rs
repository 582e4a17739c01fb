//! What `emberflow check` and `serve` say of a configuration: the one in the README, and with faults.

use expect_test::expect;
use std::process::Command;

fn readme() -> String {
    let text = include_str!("../../../README.md");
    let lines = text.lines().skip_while(|line| !line.starts_with("    {\"name\":"));
    lines.take_while(|line| !line.is_empty()).collect()
}

fn run(command: &[&str], name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    std::fs::write(&path, text).expect("a file");
    let mut program = Command::new(env!("CARGO_BIN_EXE_emberflow"));
    let done = program.args(command).arg(&path).env_remove("EDGE_LISTEN").output().expect("it ends");
    let said = String::from_utf8([done.stdout, done.stderr].concat()).expect("UTF-8");
    format!("{:?} {}", done.status.code(), said.replace(&*path.to_string_lossy(), "FILE"))
}

#[test]
fn the_configuration_of_the_readme_is_taken() {
    expect![[r#"
        Some(0) n0: listen 127.0.0.1:9090, discovery 127.0.0.1:9092
        limits: 192 MB, 1024 descriptors
        fleet: 1 routers, 1 engines at event 1
        1 engine kinds: std-8
        1 request classes: lookup
    "#]]
    .assert_eq(&run(&["check"], "readme", &readme()));
}

#[test]
fn a_report_field_of_unknown_name_is_told_and_ignored() {
    expect![[r#"
        Some(0) n0: listen 127.0.0.1:9090, discovery 127.0.0.1:9092
        limits: 192 MB, 1024 descriptors
        fleet: 1 routers, 1 engines at event 1
        1 engine kinds: std-8
        1 request classes: lookup
        `settings.report.names[2]` is unknown: moon (ignored)
    "#]]
    .assert_eq(&run(&["check"], "moon", &readme().replace("\"x1\"", "\"moon\"")));
}

#[test]
fn faults_are_told_by_their_path_and_nothing_starts() {
    let faults = [
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
    let mut said = String::new();
    for (from, to) in faults {
        let text = readme().replace(from, to);
        assert_ne!(text, readme(), "{from}");
        let told = run(&["check"], "fault", &text);
        assert_eq!(told, run(&["serve", "--config"], "fault", &text));
        said += &told;
    }
    expect![[r#"
        Some(1) emberflow: FILE: `settings.categories[0].keyScope` is missing
        Some(1) emberflow: FILE: `settings.categories[0].keyScope` is unknown: galaxy
        Some(1) emberflow: FILE: `settings.kinds` has 2 rows, not 1, one a kind
        Some(1) emberflow: FILE: `settings.zones[1]` is listed twice: hall-a
        Some(1) emberflow: FILE: `settings.myZone` is 1, past the end of a list of 1
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].locality` is not in the settings: hall-z
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].id` is no engine's id: 1
        Some(1) emberflow: FILE: `known.items[0].roster.members[0].host_port` is no address: somewhere
        Some(1) emberflow: FILE: `settings.report.names[1]` is not text
        Some(1) emberflow: FILE: `settings.report.how` is unknown: pigeon
        Some(1) emberflow: FILE: `settings.caps.connectTimeoutMs` is not a time in milliseconds
        Some(1) emberflow: FILE: `settings.caps.mayDuplicate` is not true or false
        Some(1) emberflow: FILE: `settings.rules.spareAttempts` stands without `countedOverMs`
    "#]]
    .assert_eq(&said);
}

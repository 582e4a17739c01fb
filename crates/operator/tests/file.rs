//! Decoding of the operator's file, and the errors of invalid files.

use emberflow_operator::OperatorConfig;
use expect_test::expect;

/// Returns the operator's file among the deploy files.
fn example_file() -> String {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/operator.json5");
    std::fs::read_to_string(path).expect("the example can be read")
}

#[test]
fn the_example_is_decoded_as_its_comments_describe() {
    let team_config = OperatorConfig::parse(&example_file())
        .expect("the example is valid")
        .teams
        .expect("the example has teams");
    let shares: Vec<String> = team_config
        .names
        .iter()
        .map(|name| format!("{name} {:.3}", team_config.quotas.overall_share(team_config.team_index(name))))
        .collect();
    expect![[r#"(others) 0.143, audit 0.429, posting 0.143, payroll 0.286 | 3 [0, 2] team urgency Some("tell_wait") 1s"#]]
        .assert_eq(&format!(
            "{} | {} {:?} {} {} {:?} {:?}",
            shares.join(", "),
            team_config.team_index("payroll"),
            [team_config.team_index("nobody"), team_config.team_index("posting")],
            team_config.team_field,
            team_config.urgency_field,
            team_config.wait_notice_field,
            team_config.wait_notice_interval
        ));
}

#[test]
fn errors_contain_the_line_the_path_and_the_expected_value() {
    let files = [
        "{}",
        "{teams: {}}",
        "{\n  tems: {}\n}",
        "{teams: {\n  list: [\n    {name: 'a', share: -1}]}}",
        "{teams: {\n  list: [\n    {name: 'a', share: 0}]}}",
        "{teams: {list: [\n    {name: 'a', budget: {work_s: 'x', per_s: 1}}]}}",
        "{teams: {list: [\n    {name: 'a', budget: {work_s: 1e300, per_s: 1}}]}}",
        "{teams: {list: [\n    {name: 'a', budget: {work_s: 1}}]}}",
        "{teams: {list: [\n    {name: 'a', most_waiting: 2.5}]}}",
        "{teams: {list: [{name: 'a'},\n {name: 'a'}]}}",
        "{teams: {firms: [{name: 'a'},\n {name: 'a'}]}}",
        "{teams: {list: [{name: 'a'},\n {name: 'b', firm: 'c'}]}}",
        "{teams: {list: [{name: ''}]}}",
        "{teams: {\n  waits: {field: 'w', every_s: NaN}}}",
        "{teams: {\n  waits: {field: 'w', every_s: 0.001}}}",
        "{teams: {\n",
        "",
    ];
    let outcomes: String = files
        .iter()
        .map(|file| match OperatorConfig::parse(file) {
            Ok(config) => {
                format!("{} teams\n", config.teams.map_or(0, |team_config| team_config.names.len()))
            }
            Err(error) => format!("{error}\n"),
        })
        .collect();
    expect![[r#"
        0 teams
        1 teams
        line 2, tems: unknown field `tems`, expected `teams`
        line 3, teams.list[0].share: expected a share above 0, up to a million, found -1.0
        line 3, teams.list[0].share: expected a share above 0, up to a million, found 0.0
        line 2, teams.list[0].budget.work_s: expected number
        line 2, teams.list[0].budget.work_s: expected seconds above 0, up to a year, found 1e300
        line 2, teams.list[0].budget: missing field `per_s`
        line 2, teams.list[0].most_waiting: expected a whole number, found 2.5
        line 1, teams.list[1]: expected each name once, found a twice
        line 1, teams.firms[1]: expected each name once, found a twice
        line 1, teams: list[1].firm: expected a name of the list `firms`, found c
        line 1, teams.list[0].name: expected a name of 1 to 128 bytes, found one of 0 bytes
        line 2, teams.waits.every_s: expected seconds from 0.1, up to a year, found NaN
        line 2, teams.waits.every_s: expected seconds from 0.1, up to a year, found 0.001
        line 1, teams.?: EOF parsing object
        .: EOF parsing object
    "#]]
    .assert_eq(&outcomes);
}

#[test]
fn changes_of_teams_and_their_new_indices_are_found() {
    let read = |text: &str| {
        OperatorConfig::parse(text).expect("the file is valid").teams.expect("the file has teams")
    };
    let old = read("{teams: {list: [{name: 'a'}, {name: 'b'}, {name: 'c', budget: {work_s: 1, per_s: 2}}]}}");
    let new = read("{teams: {list: [{name: 'd'}, {name: 'c'}, {name: 'a'}]}}");
    let changes: Vec<String> = old.changes(&new).iter().map(ToString::to_string).collect();
    expect![[r#"[Some(0), Some(3), None, Some(2)] ["team b removed", "team c changed its share, budget or limit of waiting requests", "team d added"]"#]]
        .assert_eq(&format!("{:?} {:?}", old.indices_in(&new), changes));
}

//! Errors of settings with invalid, unknown, inconsistent or missing values, and acceptance of unusual ones.

use emberflow_settings::{
    Fields, SettingsError, clients_mark_retries, decode_attempt_limits, decode_fleet, decode_request_classes,
    load_report_names, unknown_load_report_names,
};
use expect_test::expect;
use serde_json::{Value, json};

/// Returns valid settings with all parts.
fn settings() -> Value {
    json!({
        "caps": {"cancel": true, "maxRetryAfterMs": 2000.0, "mostTries": 3, "probes": false, "retryAfter": true},
        "categories": [
            {"aimStretch": 1.5, "deadlineMs": 6000.0, "gain": 1.0, "lateShare": 0.1, "name": "lookup",
                "onTimeMs": 1200.0, "repeat": "repeatable"},
            {"deadlineMs": 20000.0, "gain": 5.0, "keyScope": "all", "lateShare": 0.5, "name": "load",
                "onTimeMs": 4000.0, "repeat": "by_key", "windowMs": 12000.0}],
        "clientHabits": {"marksRetry": true},
        "discovery": "push",
        "domain": {"blockedByLoads": [true, false], "kindCores": [8, 16], "lanesCount": true, "largestShare": 0.4,
            "parallelism": [1, 2], "sizeMb": [16384.0, 32768.0], "tellsEveryMs": 500.0, "whenShort": "line_up",
            "writesTables": [false, true]},
        "instances": 3,
        "kinds": ["std-8", "std-16"],
        "myZone": 0,
        "report": {"how": "answers", "names": ["busy", "q", "x1", "x0"]},
        "rules": {"countedOverMs": 5000.0, "extraPerRequest": 0.1, "fallMs": 1000.0, "overloadFactor": 2.5,
            "spareAttempts": 3, "startCapacity": 0.33, "warmUpMs": 15000.0},
        "tickMs": 5.0,
        "zones": ["hall-a", "hall-b"]
    })
}

/// Returns a file whose settings have these values at these paths. Null counts as an absent value.
fn file_with(changes: &[(&str, Value)]) -> Value {
    let mut file = json!({"settings": settings()});
    for (path, value) in changes {
        let mut target = &mut file["settings"];
        for step in path.split('/') {
            target = match step.parse::<usize>() {
                Ok(index) => &mut target[index],
                Err(_) => &mut target[step],
            };
        }
        *target = value.clone();
    }
    file
}

/// Decodes all parts of the settings in a file.
fn decode(file: &Value) -> Result<(), SettingsError> {
    let settings = Fields::of(file).object("settings")?;
    decode_fleet(1, settings)?;
    decode_request_classes(settings)?;
    decode_attempt_limits(settings)?;
    clients_mark_retries(settings)?;
    load_report_names(settings)?;
    Ok(())
}

/// Returns a line with the error of each change of the settings.
fn errors(changes: &[(&str, Value)]) -> String {
    let line = |(path, value): &(&str, Value)| {
        let error = decode(&file_with(&[(path, value.clone())])).err();
        let text = error.map_or("NO ERROR".into(), |error| error.to_string());
        format!("{path} {value}: {text}\n")
    };
    changes.iter().map(line).collect()
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of values and their errors")]
fn values_out_of_range_are_reported_by_their_path() {
    let positive = ["domain/kindCores/1", "domain/sizeMb/0", "domain/parallelism/1", "rules/overloadFactor"];
    let positive_times =
        ["categories/0/onTimeMs", "categories/1/deadlineMs", "rules/fallMs", "tickMs", "rules/warmUpMs"];
    let times = ["domain/tellsEveryMs", "rules/keyQuietMs", "caps/maxRetryAfterMs", "categories/1/windowMs"];
    let fractions = ["rules/startCapacity", "domain/largestShare", "categories/1/lateShare"];
    let non_negative =
        ["categories/0/gain", "categories/0/aimStretch", "rules/spareAttempts", "rules/extraPerRequest"];
    let mut changes = Vec::new();
    positive
        .into_iter()
        .for_each(|path| changes.extend([(path, json!(0)), (path, json!(-1.5)), (path, json!("8"))]));
    positive_times
        .into_iter()
        .for_each(|path| changes.extend([(path, json!(0)), (path, json!(-1)), (path, json!([]))]));
    changes.extend([("rules/countedOverMs", json!(0))]);
    times.into_iter().for_each(|path| changes.extend([(path, json!(-0.5)), (path, json!("soon"))]));
    fractions.into_iter().for_each(|path| changes.extend([(path, json!(-0.1)), (path, json!(1.01))]));
    non_negative.into_iter().for_each(|path| changes.push((path, json!(-1))));
    changes.extend([("caps/mostTries", json!(0)), ("caps/mostTries", json!(1.5)), ("instances", json!(0))]);
    expect![[r#"
        domain/kindCores/1 0: `settings.domain.kindCores[1]` must be a number above 0, found 0
        domain/kindCores/1 -1.5: `settings.domain.kindCores[1]` must be a number above 0, found -1.5
        domain/kindCores/1 "8": `settings.domain.kindCores[1]` must be a number above 0, found "8"
        domain/sizeMb/0 0: `settings.domain.sizeMb[0]` must be a number above 0, found 0
        domain/sizeMb/0 -1.5: `settings.domain.sizeMb[0]` must be a number above 0, found -1.5
        domain/sizeMb/0 "8": `settings.domain.sizeMb[0]` must be a number above 0, found "8"
        domain/parallelism/1 0: `settings.domain.parallelism[1]` must be a number above 0, found 0
        domain/parallelism/1 -1.5: `settings.domain.parallelism[1]` must be a number above 0, found -1.5
        domain/parallelism/1 "8": `settings.domain.parallelism[1]` must be a number above 0, found "8"
        rules/overloadFactor 0: `settings.rules.overloadFactor` must be a number above 0, found 0
        rules/overloadFactor -1.5: `settings.rules.overloadFactor` must be a number above 0, found -1.5
        rules/overloadFactor "8": `settings.rules.overloadFactor` must be a number above 0, found "8"
        categories/0/onTimeMs 0: `settings.categories[0].onTimeMs` must be a time in milliseconds above 0, found 0
        categories/0/onTimeMs -1: `settings.categories[0].onTimeMs` must be a time in milliseconds above 0, found -1
        categories/0/onTimeMs []: `settings.categories[0].onTimeMs` must be a time in milliseconds above 0, found a list
        categories/1/deadlineMs 0: `settings.categories[1].deadlineMs` must be a time in milliseconds above 0, found 0
        categories/1/deadlineMs -1: `settings.categories[1].deadlineMs` must be a time in milliseconds above 0, found -1
        categories/1/deadlineMs []: `settings.categories[1].deadlineMs` must be a time in milliseconds above 0, found a list
        rules/fallMs 0: `settings.rules.fallMs` must be a time in milliseconds above 0, found 0
        rules/fallMs -1: `settings.rules.fallMs` must be a time in milliseconds above 0, found -1
        rules/fallMs []: `settings.rules.fallMs` must be a time in milliseconds above 0, found a list
        tickMs 0: `settings.tickMs` must be a time in milliseconds above 0, found 0
        tickMs -1: `settings.tickMs` must be a time in milliseconds above 0, found -1
        tickMs []: `settings.tickMs` must be a time in milliseconds above 0, found a list
        rules/warmUpMs 0: `settings.rules.warmUpMs` must be a time in milliseconds above 0, found 0
        rules/warmUpMs -1: `settings.rules.warmUpMs` must be a time in milliseconds above 0, found -1
        rules/warmUpMs []: `settings.rules.warmUpMs` must be a time in milliseconds above 0, found a list
        rules/countedOverMs 0: `settings.rules.countedOverMs` must be a time in milliseconds above 0, found 0
        domain/tellsEveryMs -0.5: `settings.domain.tellsEveryMs` must be a time in milliseconds from 0 up, found -0.5
        domain/tellsEveryMs "soon": `settings.domain.tellsEveryMs` must be a time in milliseconds from 0 up, found "soon"
        rules/keyQuietMs -0.5: `settings.rules.keyQuietMs` must be a time in milliseconds from 0 up, found -0.5
        rules/keyQuietMs "soon": `settings.rules.keyQuietMs` must be a time in milliseconds from 0 up, found "soon"
        caps/maxRetryAfterMs -0.5: `settings.caps.maxRetryAfterMs` must be a time in milliseconds from 0 up, found -0.5
        caps/maxRetryAfterMs "soon": `settings.caps.maxRetryAfterMs` must be a time in milliseconds from 0 up, found "soon"
        categories/1/windowMs -0.5: `settings.categories[1].windowMs` must be a time in milliseconds from 0 up, found -0.5
        categories/1/windowMs "soon": `settings.categories[1].windowMs` must be a time in milliseconds from 0 up, found "soon"
        rules/startCapacity -0.1: `settings.rules.startCapacity` must be a number from 0 to 1, found -0.1
        rules/startCapacity 1.01: `settings.rules.startCapacity` must be a number from 0 to 1, found 1.01
        domain/largestShare -0.1: `settings.domain.largestShare` must be a number from 0 to 1, found -0.1
        domain/largestShare 1.01: `settings.domain.largestShare` must be a number from 0 to 1, found 1.01
        categories/1/lateShare -0.1: `settings.categories[1].lateShare` must be a number from 0 to 1, found -0.1
        categories/1/lateShare 1.01: `settings.categories[1].lateShare` must be a number from 0 to 1, found 1.01
        categories/0/gain -1: `settings.categories[0].gain` must be a number from 0 up, found -1
        categories/0/aimStretch -1: `settings.categories[0].aimStretch` must be a number from 0 up, found -1
        rules/spareAttempts -1: `settings.rules.spareAttempts` must be a number from 0 up, found -1
        rules/extraPerRequest -1: `settings.rules.extraPerRequest` must be a number from 0 up, found -1
        caps/mostTries 0: `settings.caps.mostTries` must be a whole number from 1 up, found 0
        caps/mostTries 1.5: `settings.caps.mostTries` must be a whole number from 1 up, found 1.5
        instances 0: `settings.instances` must be a whole number from 1 up, found 0
    "#]]
    .assert_eq(&errors(&changes));
}

#[test]
fn unknown_names_are_reported_by_their_path() {
    expect![[r#"
        categories/0/repeat "maybe": `settings.categories[0].repeat` must be one of `repeatable`, `once`, `by_key`, found `maybe`
        categories/1/keyScope "galaxy": `settings.categories[1].keyScope` must be one of `all`, `zone`, `cell`, found `galaxy`
        discovery "pull": `settings.discovery` must be one of `push`, `ask`, found `pull`
        domain/whenShort "wait": `settings.domain.whenShort` must be one of `line_up`, `cut`, `overcommit`, found `wait`
        report/how "pigeon": `settings.report.how` must be one of `answers`, `probe`, `none`, found `pigeon`
        report/names/2 7: `settings.report.names[2]` is not text
        myZone 2: `settings.myZone` must be an index below 2, found 2
        categories/0/allowedOn [0,2]: `settings.categories[0].allowedOn[1]` must be an index below 2, found 2
        categories/0/allowedOn ["std-8"]: `settings.categories[0].allowedOn[0]` must be an index from 0 up, found "std-8"
        categories/1/zonesOpen [5]: `settings.categories[1].zonesOpen[0]` must be an index below 2, found 5
        categories/1/zonesOpen [1,-1]: `settings.categories[1].zonesOpen[1]` must be an index from 0 up, found -1
    "#]]
    .assert_eq(&errors(&[
        ("categories/0/repeat", json!("maybe")),
        ("categories/1/keyScope", json!("galaxy")),
        ("discovery", json!("pull")),
        ("domain/whenShort", json!("wait")),
        ("report/how", json!("pigeon")),
        ("report/names/2", json!(7)),
        ("myZone", json!(2)),
        ("categories/0/allowedOn", json!([0, 2])),
        ("categories/0/allowedOn", json!(["std-8"])),
        ("categories/1/zonesOpen", json!([5])),
        ("categories/1/zonesOpen", json!([1, -1])),
    ]));
}

#[test]
fn missing_values_and_other_types_are_reported_by_their_path() {
    expect![[r#"
        categories []: `settings.categories` must have at least one element, one for each class, found none
        categories/1 "load": `settings.categories[1].onTimeMs` is missing
        categories/1/keyScope null: `settings.categories[1].keyScope` is missing
        categories/1/windowMs null: `settings.categories[1].windowMs` is missing
        categories/1/keepOrder "yes": `settings.categories[1].keepOrder` must be true or false, found "yes"
        caps null: `settings.caps` is missing
        caps/probes 0: `settings.caps.probes` must be true or false, found 0
        clientHabits true: `settings.clientHabits` must be an object, found true
        clientHabits/marksRetry 1: `settings.clientHabits.marksRetry` must be true or false, found 1
        domain/lanesCount null: `settings.domain.lanesCount` is missing
        report/names null: `settings.report.names` is missing
        report/how null: `settings.report.how` is missing
        rules/fallMs null: `settings.rules.fallMs` is missing
    "#]]
    .assert_eq(&errors(&[
        ("categories", json!([])),
        ("categories/1", json!("load")),
        ("categories/1/keyScope", json!(null)),
        ("categories/1/windowMs", json!(null)),
        ("categories/1/keepOrder", json!("yes")),
        ("caps", json!(null)),
        ("caps/probes", json!(0)),
        ("clientHabits", json!(true)),
        ("clientHabits/marksRetry", json!(1)),
        ("domain/lanesCount", json!(null)),
        ("report/names", json!(null)),
        ("report/how", json!(null)),
        ("rules/fallMs", json!(null)),
    ]));
}

#[test]
fn wrong_list_lengths_and_missing_windows_are_reported_by_path() {
    expect![[r#"
        domain/kindCores []: `settings.domain.kindCores` must have at least one element, one for each kind, found none
        domain/sizeMb [16384.0]: `settings.domain.sizeMb` must have one element for each kind (2), found 1
        kinds ["std-8"]: `settings.kinds` must have one element for each kind (2), found 1
        domain/parallelism [1]: `settings.domain.parallelism` must have one element for each class (2), found 1
        domain/writesTables [true,false,true]: `settings.domain.writesTables` must have one element for each class (2), found 3
        domain/blockedByLoads []: `settings.domain.blockedByLoads` must have one element for each class (2), found 0
        domain/blockedByLoads/1 1: `settings.domain.blockedByLoads[1]` must be true or false, found 1
        rules/countedOverMs null: `settings.rules.spareAttempts` requires `countedOverMs`, which is missing
        rules {"extraPerRequest":0,"fallMs":1,"overloadFactor":2,"startCapacity":0,"warmUpMs":1}: `settings.rules.extraPerRequest` requires `countedOverMs`, which is missing
    "#]].assert_eq(&errors(&[
        ("domain/kindCores", json!([])),
        ("domain/sizeMb", json!([16384.0])),
        ("kinds", json!(["std-8"])),
        ("domain/parallelism", json!([1])),
        ("domain/writesTables", json!([true, false, true])),
        ("domain/blockedByLoads", json!([])),
        ("domain/blockedByLoads/1", json!(1)),
        ("rules/countedOverMs", json!(null)),
        ("rules", json!({"extraPerRequest": 0, "fallMs": 1, "overloadFactor": 2, "startCapacity": 0, "warmUpMs": 1})),
    ]));
}

#[test]
fn unusual_but_valid_settings_are_accepted() {
    let accepted = [
        vec![],
        vec![("categories/0/keepOrder", json!(true))],
        vec![("rules/keyQuietMs", json!(300))],
        vec![("rules/keyQuietMs", json!(0))],
        vec![("rules/spareAttempts", json!(null)), ("rules/extraPerRequest", json!(null))],
        vec![("rules/spareAttempts", json!(null))],
        vec![("report", json!({"how": "probe", "names": ["rif"]}))],
        vec![("report", json!({"how": "none"}))],
        vec![("report/names", json!([]))],
        vec![("report/names/0", json!("moon"))],
        vec![("zones", json!(null)), ("kinds", json!(null)), ("categories/0/zonesOpen", json!([4]))],
        vec![("categories/0/allowedOn", json!([1])), ("categories/0/zonesOpen", json!([1, 0]))],
        vec![("domain/parallelism", json!(null)), ("domain/whenShort", json!(null))],
        vec![("domain/tellsEveryMs", json!(0)), ("categories/1/windowMs", json!(0))],
        vec![("clientHabits", json!(null)), ("caps/maxRetryAfterMs", json!(null))],
        vec![("rules/startCapacity", json!(1)), ("categories/0/lateShare", json!(0))],
        vec![("unheard", json!({"of": 1})), ("rules/unheard", json!("of"))],
    ];
    for changes in accepted {
        assert_eq!(decode(&file_with(&changes)), Ok(()), "{changes:?}");
    }
}

#[test]
fn unknown_figures_of_load_reports_are_reported() {
    let unknown_figures = |how: &str, names: &[&str]| {
        let file = file_with(&[("report", json!({"how": how, "names": names}))]);
        let unknown =
            unknown_load_report_names(Fields::of(&file).object("settings").expect("the file has settings"))
                .expect("the settings are valid");
        unknown.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    for known in ["rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0", "x1", "inflight", "queue", "util"]
    {
        assert_eq!(unknown_figures("answers", &[known]), [] as [&str; 0], "{known}");
    }
    assert_eq!(unknown_figures("none", &["moon"]), [] as [&str; 0]);
    assert_eq!(
        unknown_figures("probe", &["q", "moon"]),
        ["`settings.report.names[1]` is not a known figure of a load report: moon"]
    );
}

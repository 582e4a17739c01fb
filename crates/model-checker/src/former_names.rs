//! The former names of scenarios, which the command line still accepts.

/// Each former name with the current name of the scenario.
const FORMER_NAMES: &[(&str, &str)] = &[
    ("an open request again", "an open request sent again"),
    ("a planned restart", "shutdown of the router"),
    ("a restart under two", "shutdown, two requests"),
    ("a restart under a booking", "shutdown, idempotency key"),
    ("a team that floods", "a team above its share"),
];

/// Returns the current name of a scenario; a name that is not a former one is returned as it is.
pub fn current_name(name: &str) -> &str {
    let former = FORMER_NAMES.iter().find(|(former, _)| *former == name);
    former.map_or(name, |(_, current)| current)
}

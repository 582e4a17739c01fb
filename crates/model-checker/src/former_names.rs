//! The former names of scenarios, which the command line still accepts.

/// Each former name with the current name of the scenario.
const FORMER_NAMES: &[(&str, &str)] = &[
    ("keyed in a cell", "idempotency key in a cell"),
    ("keyed in a location", "idempotency key in location"),
    ("keyed everywhere", "idempotency key everywhere"),
    ("placed", "placement"),
    ("notes", "progress updates"),
    ("list asked", "polled endpoint list"),
    ("closing", "shutdown under an attempt"),
    ("closing late", "shutdown before a deadline"),
    ("a turn that never comes", "blocked by key order"),
    ("attempt budget", "retry budget"),
    ("attempt budget at two", "retry budget, two engines"),
    ("cold engine", "warming engine"),
    ("cold engine, small part", "warming engine, small part"),
    ("pressed engine", "engine under pressure"),
    ("may not cancel", "no cancellation"),
    ("two keyed", "two idempotency keys"),
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

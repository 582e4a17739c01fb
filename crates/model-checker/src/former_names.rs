//! The former names of scenarios and mutants, which the command line still accepts in place of the current names.

/// Pairs of a former name of a scenario and the current name.
pub const FORMER_SCENARIO_NAMES: &[(&str, &str)] = &[
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

/// Pairs of a former name of a mutant and the current name.
pub const FORMER_MUTANT_NAMES: &[(&str, &str)] = &[
    ("a client that left is not noted", "a disconnect is not recorded"),
    ("reject for anything", "unsafe rejection"),
    ("waiting calls left at a drain", "queued calls remain at a drain"),
    ("a second attempt where an answer is owed", "a retry where a late answer may arrive"),
    ("a call that began to leave is sent anew", "a partly written call is sent again"),
    ("given up unwritten though it left", "a written call ends as not sent"),
    ("idle connections are kept", "idle connections stay open"),
    ("a second answer begins a result anew", "a second answer restarts a result"),
    ("an answer ends whatever is there", "an answer ends any attempt"),
    ("an answered request goes on", "an answered request is not cancelled"),
    ("an open request is taken again", "an open request is accepted again"),
    ("a client that left is still waited for", "requests of a closed client stay open"),
    ("a withdrawal that is not passed on", "a cancellation is not passed on"),
    ("a client that ended its side is sent for", "a half-close is not passed on"),
    (
        "what waits for a connection is sent for a client that ended its side",
        "a queued call for a half-closed client",
    ),
    ("the scheduler is not told of the shutdown", "the scheduler misses the shutdown"),
    ("leaves with requests open", "stops with open requests"),
    ("silent clients are kept", "idle clients stay connected"),
    ("a shut client is never finished", "a closed client is never removed"),
    ("a change taken after a gap", "a change accepted after a gap"),
    ("an event taken twice", "an event accepted twice"),
    ("a lost event not noticed", "a lost event not detected"),
    ("the last event forgotten", "the last event not recorded"),
    ("half a frame kept over a new connection", "half a frame kept on reconnection"),
    ("urgency does not count", "urgency ignored"),
    ("what is given back stays charged", "an ended request stays charged"),
    ("turns are not charged", "dispatches are not charged"),
];

/// Returns the current name of a scenario. A name that is not a former name is returned unchanged.
pub fn current_scenario_name(name: &str) -> &str {
    current_name(FORMER_SCENARIO_NAMES, name)
}

/// Returns the current name of a mutant. A name that is not a former name is returned unchanged.
pub fn current_mutant_name(name: &str) -> &str {
    current_name(FORMER_MUTANT_NAMES, name)
}

fn current_name<'a>(former_names: &[(&str, &'a str)], name: &'a str) -> &'a str {
    let entry = former_names.iter().find(|(former, _)| *former == name);
    entry.map_or(name, |(_, current)| current)
}

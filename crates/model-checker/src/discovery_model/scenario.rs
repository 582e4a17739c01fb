//! The scenarios of the discovery model.

/// A scenario of the discovery model: the number of changes of the endpoint list, and of faults of the connection.
pub struct DiscoveryScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// Largest number of changes of the endpoint list, each of which is an event.
    pub list_changes: u64,
    /// Largest number of faulty frames that the service sends.
    pub max_faults: u8,
    /// Largest number of lost connections, apart from those that the router closes because of a faulty frame.
    pub max_disconnects: u8,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
}

/// All scenarios of the discovery model.
pub const SCENARIOS: &[DiscoveryScenario] = &[
    DiscoveryScenario {
        name: "the discovery service",
        description: "an endpoint list with three changes, sent as changes or complete lists and in pieces, two faulty frames, two lost connections",
        list_changes: 3,
        max_faults: 2,
        max_disconnects: 2,
        in_short_set: true,
    },
    DiscoveryScenario {
        name: "the discovery service, longer",
        description: "an endpoint list with six changes, three faulty frames, three lost connections",
        list_changes: 6,
        max_faults: 3,
        max_disconnects: 3,
        in_short_set: false,
    },
];

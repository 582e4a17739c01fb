//! The scenarios of the discovery model.

/// A scenario: the changes of the endpoint list, and the faults of the connection.
pub struct DiscoveryScenario {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// A description in one sentence.
    pub description: &'static str,
    /// Number of events of the endpoint list.
    pub list_changes: u64,
    /// Largest number of faulty frames.
    pub max_faults: u8,
    /// Largest number of lost connections.
    pub max_disconnects: u8,
    /// Whether the scenario belongs to the short set.
    pub in_short_set: bool,
}

/// All scenarios of the discovery model.
pub const SCENARIOS: &[DiscoveryScenario] = &[
    DiscoveryScenario {
        name: "the discovery service",
        description: "a list with three events, sent as changes or snapshots and in pieces, two faults, two lost connections",
        list_changes: 3,
        max_faults: 2,
        max_disconnects: 2,
        in_short_set: true,
    },
    DiscoveryScenario {
        name: "the discovery service, longer",
        description: "a list with six events, three faults, three lost connections",
        list_changes: 6,
        max_faults: 3,
        max_disconnects: 3,
        in_short_set: false,
    },
];

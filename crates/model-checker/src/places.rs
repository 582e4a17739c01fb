//! The worlds round the module alone. Each is small enough to be walked whole, unless it says how deep.

use crate::setup;
use crate::world::{Asks, Listed, Place, asks, keyed};
use emberflow::{AttemptOutcome, LoadReport, ProgressNote, RetryBudget};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const ALL: &[Listed] = &[Listed::Drains, Listed::Gone, Listed::Back, Listed::Anew];
/// Ends that differ in what they prove: done, failed, never ran, lost.
const FEW: &[AttemptOutcome] =
    &[AttemptOutcome::Succeeded, AttemptOutcome::Failed, AttemptOutcome::Overloaded, AttemptOutcome::Broken];
/// Ends after which it may still run, and such as prove that it does not.
const MAY_RUN: &[AttemptOutcome] = &[
    AttemptOutcome::Succeeded,
    AttemptOutcome::Failed,
    AttemptOutcome::Overloaded,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Broken,
];
const NOTES: &[ProgressNote] = &[
    ProgressNote::Running,
    ProgressNote::Fraction(0.1),
    ProgressNote::Spilling(200.0),
    ProgressNote::WaitingForMemory,
    ProgressNote::WaitingForLoad,
];
const THREE: &[(usize, u64)] = &[(0, 0), (0, 0), (0, 0)];
/// Two in one cell, one in another cell and location.
const CELLS: &[(usize, u64)] = &[(0, 0), (0, 0), (1, 1)];
const TWO: &[(usize, u64)] = &[(0, 0), (0, 0)];
const SIGNALS: LoadReport =
    LoadReport { busy: Some(1.0), in_flight: None, waiting: None, memory: Some(0.5), disks: None };

pub const PLACES: &[Place] = &[
    Place {
        name: "idempotent",
        says: "one idempotent request, three engines, every end, the list changing once, a client that leaves",
        engines: THREE,
        requests: &[asks(0)],
        events: 1,
        listed: ALL,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "non-idempotent",
        says: "one non-idempotent request, three engines, every end, the list changing twice, a client that leaves",
        engines: THREE,
        requests: &[asks(4)],
        events: 2,
        listed: ALL,
        leaves: 1,
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "drain under an attempt",
        says: "a drain told in the instant of an attempt's end, and between a rejection elsewhere and the next attempt",
        engines: THREE,
        requests: &[asks(0)],
        ends: FEW,
        events: 2,
        listed: &[Listed::Drains, Listed::Back],
        ..Place::PLAIN
    },
    Place {
        name: "keyed in a cell",
        says: "one request keyed within its cell, three engines in two cells, a window shorter than the deadline",
        engines: CELLS,
        requests: &[asks(1)],
        events: 1,
        listed: &[Listed::Drains, Listed::Anew],
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "keyed in a location",
        says: "the same within a location",
        engines: CELLS,
        requests: &[asks(2)],
        events: 1,
        listed: &[Listed::Drains, Listed::Gone],
        ..Place::PLAIN
    },
    Place {
        name: "keyed everywhere",
        says: "the same with a reference that all engines know",
        engines: CELLS,
        requests: &[asks(3)],
        events: 1,
        listed: &[Listed::Drains, Listed::Gone],
        ..Place::PLAIN
    },
    Place {
        name: "restart under an attempt",
        says: "an engine that restarts under an attempt and is listed anew before the attempt's end is known",
        engines: TWO,
        requests: &[asks(1)],
        ends: FEW,
        events: 2,
        listed: &[Listed::Gone, Listed::Anew],
        ..Place::PLAIN
    },
    Place {
        name: "placed",
        says: "a request bound to one kind and one location, engines of every other",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.kinds.push(emberflow::EngineKind { cores: 8.0, memory_mb: 16000.0 });
            classes[0].kinds = Some(vec![1]);
            classes[0].locations = Some(vec![1]);
        }),
        engines: &[(1, 0), (0, 0), (1, 0)],
        kinds: &[1, 1, 0],
        requests: &[asks(0)],
        events: 1,
        listed: ALL,
        ..Place::PLAIN
    },
    Place {
        name: "notes",
        says: "one idempotent request, two engines, two notes of any kind to each attempt",
        engines: TWO,
        requests: &[asks(0)],
        ends: FEW,
        progress_notes: NOTES,
        notes: 2,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "silent engine",
        says: "notes told and not: attempts taken back from silence, a late first answer after that",
        engines: TWO,
        requests: &[asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        progress_notes: &[ProgressNote::Running],
        notes: 3,
        fine: true,
        late: ms(8),
        ..Place::PLAIN
    },
    Place {
        name: "late wake-ups",
        says: "a single engine, wake-ups up to 8 ms late, times right before, at and after the target",
        requests: &[asks(0)],
        late: ms(8),
        fine: true,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "no engine",
        says: "nothing to send to until the list tells of an engine, which may be lost again",
        engines: &[(0, 0)],
        requests: &[asks(4)],
        ends: FEW,
        events: 3,
        listed: ALL,
        list_lost: true,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "list asked",
        says: "a list that is asked for, breaks off and comes back empty",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.polls_endpoint_list = true;
        }),
        engines: TWO,
        requests: &[asks(0)],
        ends: FEW,
        events: 2,
        listed: &[Listed::Back, Listed::Anew],
        list_lost: true,
        ..Place::PLAIN
    },
    Place {
        name: "closing",
        says: "the process ends while a keyed attempt is out",
        engines: CELLS,
        requests: &[asks(1)],
        ends: FEW,
        closes: true,
        leaves: 1,
        late: ms(8),
        ..Place::PLAIN
    },
    Place {
        name: "closing late",
        says: "the process ends earlier than a non-idempotent request would",
        engines: TWO,
        requests: &[asks(4), asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        closes: true,
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "one key",
        says: "two idempotent requests of one key that rests, one engine",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
        }),
        engines: &[(0, 0)],
        requests: &[keyed(0, 1), keyed(0, 1)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Broken],
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "one key, non-idempotent",
        says: "two non-idempotent requests of one key that rests, no cancel, a client that leaves its attempt out",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[4].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
            attempt_limits.may_cancel = false;
        }),
        engines: &[(0, 0)],
        requests: &[keyed(4, 1), keyed(4, 1)],
        ends: MAY_RUN,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "one key, two effects",
        says: "a idempotent request, whose further attempts need no rest, and a non-idempotent one of its key that does",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            classes[4].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
            attempt_limits.may_cancel = false;
        }),
        engines: &[(0, 0)],
        requests: &[keyed(0, 1), keyed(4, 1)],
        ends: MAY_RUN,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "three of one key",
        says: "a non-idempotent request between two idempotent ones of its key: one rest after another",
        setup: setup!(|fleet, classes, attempt_limits| {
            classes[0].keeps_order = true;
            classes[4].keeps_order = true;
            attempt_limits.key_cooldown = Some(std::time::Duration::from_millis(60));
            attempt_limits.may_cancel = false;
        }),
        engines: &[(0, 0)],
        requests: &[keyed(0, 1), keyed(4, 1), keyed(0, 1)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "attempt budget",
        says: "two idempotent requests, one engine, an attempt budget with room for one of them",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { spare: 1.0, per_request: 0.0, window });
        }),
        engines: &[(0, 0)],
        requests: &[asks(0), asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded, AttemptOutcome::Failed],
        alike: false,
        ..Place::PLAIN
    },
    Place {
        name: "attempt budget at two",
        says: "the same at two engines, with notes that tell of a bad plan",
        setup: setup!(|fleet, classes, attempt_limits| {
            let window = std::time::Duration::from_millis(400);
            attempt_limits.retry_budget = Some(RetryBudget { spare: 0.5, per_request: 0.5, window });
        }),
        engines: TWO,
        requests: &[asks(0), asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        progress_notes: &[ProgressNote::WaitingForLoad],
        notes: 1,
        alike: false,
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "cold engine",
        says: "an engine that starts anew while two requests come, a window with room for one at first",
        engines: &[(0, 0)],
        requests: &[Asks { cost: 210, ..asks(0) }, Asks { cost: 210, ..asks(0) }],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        events: 1,
        listed: &[Listed::Anew],
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "cold engine, small part",
        says: "the same for one of forty routers, whose part is less than one request",
        setup: setup!(|fleet, classes, attempt_limits| {
            fleet.router_count = 40;
            attempt_limits.warm_up = std::time::Duration::from_millis(2000);
        }),
        engines: &[(0, 0)],
        requests: &[asks(0), asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        events: 1,
        listed: &[Listed::Anew],
        ..Place::PLAIN
    },
    Place {
        name: "pressed engine",
        says: "answers that report a full engine, large and small requests",
        engines: &[(0, 0)],
        requests: &[asks(0), Asks { memory: 12000.0, ..asks(0) }],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Overloaded],
        load_report: Some(SIGNALS),
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "no estimates",
        says: "a request of which nothing is told, and which may cost anything",
        engines: TWO,
        requests: &[Asks { cost: 0, memory: 0.0, ..asks(0) }],
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "may not cancel",
        says: "attempts that may not be taken back, with every reason to",
        setup: setup!(|fleet, classes, attempt_limits| {
            attempt_limits.may_cancel = false;
        }),
        engines: TWO,
        requests: &[asks(0)],
        ends: FEW,
        progress_notes: &[ProgressNote::Fraction(0.1), ProgressNote::WaitingForLoad],
        notes: 1,
        leaves: 1,
        ..Place::PLAIN
    },
    Place {
        name: "two effects",
        says: "a non-idempotent and a idempotent request at two engines, one drain",
        engines: TWO,
        requests: &[asks(4), asks(0)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        events: 1,
        listed: &[Listed::Drains],
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "two keyed",
        says: "two requests keyed within a cell at two engines of two cells",
        engines: &[(0, 0), (1, 1)],
        requests: &[asks(1), asks(1)],
        ends: &[AttemptOutcome::Succeeded, AttemptOutcome::Broken],
        short: false,
        ..Place::PLAIN
    },
    Place {
        name: "three requests",
        says: "a idempotent, a keyed and a non-idempotent request at three engines in two cells",
        engines: CELLS,
        requests: &[asks(0), asks(1), asks(4)],
        ends: FEW,
        events: 1,
        listed: ALL,
        leaves: 1,
        depth: Some(6),
        short: false,
        ..Place::PLAIN
    },
];

//! Faults planted on purpose: each is one small edit of the code, made in a copy, which the exploration must catch.

mod runner;

pub use runner::{EditError, edited, run};

/// One planted fault.
pub struct Mutant {
    /// A short name, unique among all mutants.
    pub name: &'static str,
    /// The file of the repository that is edited.
    pub file: &'static str,
    /// The text that is replaced; it must occur in the file exactly once.
    pub from: &'static str,
    /// The text that takes its place.
    pub to: &'static str,
}

const LOGIC: &str = "src/logic.rs";
const STATE: &str = "src/state.rs";

const DISPATCH: &str = "crates/router/src/dispatch.rs";
const SERVER: &str = "crates/router/src/server.rs";
const CLIENTS: &str = "crates/router/src/clients.rs";
const TEAM_QUEUE: &str = "crates/teams/src/team_queue.rs";
const TEAM_CHARGING: &str = "crates/teams/src/queues/charging.rs";
const TEAM_RECONFIGURE: &str = "crates/teams/src/queues/reconfigure.rs";
const TEAM_REQUEST: &str = "crates/teams/src/request.rs";
const FAIR_ORDER: &str = "crates/teams/src/fair_order.rs";
const DISCOVERY: &str = "crates/router/src/discovery.rs";
const ENGINES: &str = "crates/router/src/engine_pool.rs";

const fn engines(name: &'static str, from: &'static str, to: &'static str) -> Mutant {
    Mutant { name, file: ENGINES, from, to }
}

const fn discovery(name: &'static str, from: &'static str, to: &'static str) -> Mutant {
    Mutant { name, file: DISCOVERY, from, to }
}

const fn logic(name: &'static str, from: &'static str, to: &'static str) -> Mutant {
    Mutant { name, file: LOGIC, from, to }
}

/// All faults.
pub const MUTANTS: &[Mutant] = &[
    logic(
        "attempt limit off by one",
        "request.attempts.len() < self.attempt_limits.max_attempts",
        "request.attempts.len() <= self.attempt_limits.max_attempts",
    ),
    logic("window doubled", "< attempt.sent + *window", "< attempt.sent + *window * 2"),
    logic(
        "cell ignored",
        "KeyScope::Cell => first.cell == engine.cell",
        "KeyScope::Cell => first.cell == first.cell",
    ),
    logic(
        "location ignored",
        "KeyScope::Location => first.location == engine.location",
        "KeyScope::Location => true",
    ),
    logic(
        "drained engine allowed",
        "engine.lifecycle.accepts_requests() && placed && same_group",
        "placed && same_group",
    ),
    logic(
        "placement ignored",
        "engine.lifecycle.accepts_requests() && placed && same_group",
        "engine.lifecycle.accepts_requests() && same_group",
    ),
    logic(
        "non-idempotent sent again",
        "(Effect::NonIdempotent, Some(_)) => false",
        "(Effect::NonIdempotent, Some(_)) => true",
    ),
    logic("reject for anything", "_ => request.first_that_may_have_run().is_none(),", "_ => true,"),
    logic(
        "a broken attempt never ran",
        "[AttemptOutcome::Overloaded, AttemptOutcome::Unreachable, AttemptOutcome::Void]",
        "[AttemptOutcome::Overloaded, AttemptOutcome::Unreachable, AttemptOutcome::Broken]",
    ),
    logic(
        "key order ignored",
        "key_queue.requests.front() == Some(&id)\n            && key_queue.rest",
        "key_queue.rest",
    ),
    logic("key rest ignored", "by == id || until <= now", "by == id || until > Duration::ZERO"),
    logic(
        "key rest after breaks forgotten",
        "AttemptOutcome::TimedOut | AttemptOutcome::Broken | AttemptOutcome::Withdrawn);\n        if let (Some(key)",
        "AttemptOutcome::TimedOut | AttemptOutcome::Withdrawn);\n        if let (Some(key)",
    ),
    logic(
        "attempt budget off by one",
        "budget.spare + budget.per_request",
        "1.0 + budget.spare + budget.per_request",
    ),
    logic(
        "further attempts not counted",
        "self.further.extend((!request.attempts.is_empty()).then_some(now));",
        "",
    ),
    logic("two in a cold engine's window", "sent + usual <= budget.max(usual)", "sent <= budget.max(usual)"),
    logic(
        "cold window halved",
        "let window = self.attempt_limits.overload_window.mul_f64(times.min(1e6));",
        "let window = self.attempt_limits.overload_window.mul_f64(times.min(1e6) / 2.0);",
    ),
    Mutant {
        name: "a start is not cold",
        file: STATE,
        from: "cold_since: row.launched,",
        to: "cold_since: None,",
    },
    logic(
        "cancelled again",
        "self.attempt_limits.may_cancel && !self.requests[id].attempts[*attempt].cancelled",
        "self.attempt_limits.may_cancel",
    ),
    logic("cancels where it may not", "self.attempt_limits.may_cancel && !self", "!self"),
    logic("answers too late", "let soon = now + scheduler.margin() * 3;", "let soon = now;"),
    logic(
        "no wake-up for an attempt in flight",
        "if !self.requests.is_empty() && (self.wake_due",
        "if held && (self.wake_due",
    ),
    logic("answered again", "self.requests.entry(*id).and_modify(|request| request.over = true);", ""),
    Mutant {
        name: "sent while an attempt is out",
        file: STATE,
        from: "!self.over && !self.out()",
        to: "!self.over",
    },
    logic("grant without limit", "* GRANT).min(most)", "* GRANT).min(most * 2.0)"),
    logic(
        "engines never forgotten",
        "engine.lifecycle.is_deregistered() && !seen(**id)",
        "engine.lifecycle.is_deregistered() && !seen(**id) && seen(**id)",
    ),
    logic("a client that left is not noted", "if over { request.over = true }", "if over { let _ = id; }"),
    logic(
        "the end of the process is ignored",
        "soon >= scheduler.shutdown_at || request.held() && hopeless()",
        "request.held() && hopeless()",
    ),
    engines(
        "unwritten calls kept at a drain",
        "let whole = row.written == Some(connection.output.passed()) && ",
        "let whole = row.written == Some(connection.output.passed() + 1) && ",
    ),
    engines(
        "waiting calls left at a drain",
        "let mut unsent = connection.waiting.clone();",
        "let mut unsent = Vec::new();",
    ),
    engines(
        "a second attempt where an answer is owed",
        "let apart = !owing.contains(slot) && ",
        "let apart = ",
    ),
    engines(
        "a call that began to leave is sent anew",
        "row.written.is_some_and(|from| connection.output.passed() > from)",
        "row.written.is_some_and(|from| connection.output.passed() > from + (1 << 40))",
    ),
    engines(
        "given up unwritten though it left",
        "if attempt.written.is_none() {",
        "if attempt.id.is_empty() || attempt.written.is_some() {",
    ),
    engines(
        "idle connections are kept",
        "context.timers.set(if connection.retired { now } else { idle }, Timer::Idle(at));",
        "",
    ),
    engines(
        "a result without its last pages",
        "if result.got.iter().any(Option::is_none) {",
        "if result.got.iter().all(Option::is_none) {",
    ),
    engines(
        "a second answer begins a result anew",
        "\"HIT\" if attempt.result.is_some() => {",
        "\"HIT\" if attempt.result.is_some() && attempt.number > 9 => {",
    ),
    engines(
        "an answer ends whatever is there",
        "match self.connections.get(slot).and_then(|connection| connection.attempts.get(&id)).copied() {",
        "match self.connections.get(slot).and_then(|connection| connection.attempts.get(&id).or(connection.attempts.values().next())).copied() {",
    ),
    engines(
        "an attempt without a deadline",
        "        context.timers.set(call.until, Timer::Attempt(attempt));\n",
        "",
    ),
    Mutant {
        name: "an answered request goes on",
        file: DISPATCH,
        from: "            self.engines.cancel(*attempt, &mut self.context);\n        }\n        Some(request)",
        to: "            let _ = attempt;\n        }\n        Some(request)",
    },
    Mutant {
        name: "an open request is taken again",
        file: DISPATCH,
        from: "self.reqs.contains(req)",
        to: "self.reqs.contains(req) && req.is_empty()",
    },
    Mutant {
        name: "a client that left is still waited for",
        file: SERVER,
        from: "        client.open.into_values().collect()",
        to: "        drop(client.open);\n        Vec::new()",
    },
    Mutant {
        name: "a withdrawal that is not passed on",
        file: SERVER,
        from: "        self.scheduler.clients_left(now, &withdrawn, &left, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &[], &left, &mut self.dispatcher);\n",
    },
    Mutant {
        name: "a client that ended its side is sent for",
        file: SERVER,
        from: "        self.scheduler.clients_left(now, &withdrawn, &left, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &withdrawn, &[], &mut self.dispatcher);\n",
    },
    Mutant {
        name: "what waits for a connection is sent for a client that ended its side",
        file: SERVER,
        from: "                self.dispatcher.engines.disable_resend(attempt, &mut self.dispatcher.context);\n",
        to: "                let _ = attempt;\n",
    },
    Mutant {
        name: "the scheduler is not told of the shutdown",
        file: SERVER,
        from: "        self.scheduler.shutting_down(now, by, &mut self.dispatcher);\n",
        to: "",
    },
    Mutant {
        name: "leaves with requests open",
        file: SERVER,
        from: "        requests.is_empty() && clients",
        to: "        let _ = requests;\n        clients",
    },
    Mutant {
        name: "silent clients are kept",
        file: CLIENTS,
        from: "if due <= now { Ok(begun) } else { Err(due) }",
        to: "if due > now { Err(due) } else if begun { Ok(begun) } else { Err(now + IDLE) }",
    },
    Mutant {
        name: "a shut client is never finished",
        file: CLIENTS,
        from: "client.is_read_out() && client.waits_for_nothing()",
        to: "client.is_read_out() && !client.waits_for_nothing()",
    },
    Mutant {
        name: "half a line is skipped",
        file: CLIENTS,
        from: "(client.scanned, client.active, client.heard) = (0, now, true);",
        to: "(client.active, client.heard) = (now, true);",
    },
    discovery("a change taken after a gap", "*number != self.last + 1", "*number == u64::MAX"),
    discovery("an event taken twice", "if *number <= self.last =>", "if *number < self.last =>"),
    discovery("a lost event not noticed", "if *number > self.last =>", "if *number == u64::MAX =>"),
    discovery("an unknown kind listed", "row.kind >= self.kinds", "row.kind > self.kinds"),
    discovery("the last event forgotten", "self.last = frame.0;", ""),
    discovery(
        "half a frame kept over a new connection",
        "Self { input: Ring::default(), greeted: false, ..*self }",
        "Self { input: self.input.clone(), greeted: false, ..*self }",
    ),
    Mutant {
        name: "urgency does not count",
        file: TEAM_QUEUE,
        from: "let urgency = if ignores_urgency { 0 } else { request.urgency };",
        to: "let urgency = 0;",
    },
    Mutant {
        name: "what is given back stays charged",
        file: TEAM_CHARGING,
        from: "self.key_order.forget(request);\n        self.team_queues[team].end_charge(charged);",
        to: "self.key_order.forget(request);",
    },
    Mutant {
        name: "a request of a team that is gone is lost",
        file: TEAM_RECONFIGURE,
        from: "            self.insert_waiting(now, id, request);\n        }",
        to: "            if new_indices.get(request.team()).is_some() { self.insert_waiting(now, id, request) }\n        }",
    },
    Mutant {
        name: "turns are not charged",
        file: FAIR_ORDER,
        from: "flow.start = former_start.saturating_add(virtual_time(work, flow.share));",
        to: "flow.start = former_start.saturating_add(virtual_time(work * 0.0, flow.share));",
    },
    Mutant {
        name: "priority without bound",
        file: TEAM_REQUEST,
        from: "let gain = (urgency + by_age).min(MAX_PRIORITY_GAIN);",
        to: "let gain = urgency * 9 + by_age;",
    },
];

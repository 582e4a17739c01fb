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
const REQUEST_TABLE: &str = "crates/router/src/request_table.rs";
const SERVER_CLIENTS: &str = "crates/router/src/server/clients.rs";
const SERVER_SHUTDOWN: &str = "crates/router/src/server/shutdown.rs";
const CLIENTS: &str = "crates/router/src/clients.rs";
const CLIENT: &str = "crates/router/src/clients/client.rs";
const QUEUES: &str = "crates/teams/src/queues.rs";
const ORDER: &str = "crates/teams/src/order.rs";
const DISCOVERY: &str = "crates/router/src/discovery.rs";
/// The folder of the engine pool.
const ENGINE_POOL: &str = "crates/router/src/engine_pool/";
const POOL_ATTEMPT: &str = "crates/router/src/engine_pool/attempt.rs";
const POOL_CONNECTION: &str = "crates/router/src/engine_pool/connection.rs";
const POOL_ENDPOINTS: &str = "crates/router/src/engine_pool/endpoints.rs";
const POOL_REPLIES: &str = "crates/router/src/engine_pool/replies.rs";
const POOL_RESULT_PAGES: &str = "crates/router/src/engine_pool/result_pages.rs";

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
    Mutant {
        name: "unwritten calls kept at a drain",
        file: POOL_ATTEMPT,
        from: "attempt.call_offset == Some(connection.output.passed())",
        to: "attempt.call_offset == Some(connection.output.passed() + 1)",
    },
    Mutant {
        name: "waiting calls left at a drain",
        file: POOL_ENDPOINTS,
        from: "let mut unsent = connection.waiting.clone();",
        to: "let mut unsent = Vec::new();",
    },
    Mutant {
        name: "a second attempt where an answer is owed",
        file: POOL_CONNECTION,
        from: "let is_separate = !excluded.contains(slot) && ",
        to: "let is_separate = ",
    },
    Mutant {
        name: "a call that began to leave is sent anew",
        file: POOL_CONNECTION,
        from: "if attempt.has_begun(written) {",
        to: "if attempt.has_begun(written.saturating_sub(1 << 40)) {",
    },
    Mutant {
        name: "given up unwritten though it left",
        file: POOL_ATTEMPT,
        from: "if attempt.call_offset.is_none() {\n            return self.end(slot, unsent,",
        to: "if attempt.id.is_empty() || attempt.call_offset.is_some() {\n            return self.end(slot, unsent,",
    },
    Mutant {
        name: "idle connections are kept",
        file: POOL_ATTEMPT,
        from: "context.timers.set(idle_due, Timer::ConnectionIdle(connection_slot));",
        to: "",
    },
    Mutant {
        name: "a result without its last pages",
        file: POOL_RESULT_PAGES,
        from: "self.pages.iter().all(Option::is_some)",
        to: "self.pages.iter().any(Option::is_some)",
    },
    Mutant {
        name: "a second answer begins a result anew",
        file: POOL_REPLIES,
        from: "if attempt.result.is_some() {",
        to: "if attempt.result.is_some() && attempt.number > 9 {",
    },
    Mutant {
        name: "an answer ends whatever is there",
        file: POOL_REPLIES,
        from: "match self.attempt_named(connection, &reply.id) {",
        to: "match self.attempt_named(connection, &reply.id).or_else(|| self.connections.get(connection)?.attempts.values().next().copied()) {",
    },
    Mutant {
        name: "an attempt without a deadline",
        file: POOL_ATTEMPT,
        from: "        context.timers.set(call.deadline, Timer::Attempt(attempt));\n",
        to: "",
    },
    Mutant {
        name: "an answered request goes on",
        file: DISPATCH,
        from: "            self.engines.cancel(*attempt, &mut self.context);\n        }\n        Some(request)",
        to: "            let _ = attempt;\n        }\n        Some(request)",
    },
    Mutant {
        name: "an open request is taken again",
        file: REQUEST_TABLE,
        from: "self.names.contains(name)",
        to: "self.names.contains(name) && name.is_empty()",
    },
    Mutant {
        name: "a client that left is still waited for",
        file: SERVER_CLIENTS,
        from: "        client.open.into_values().collect()",
        to: "        drop(client.open);\n        Vec::new()",
    },
    Mutant {
        name: "a withdrawal that is not passed on",
        file: SERVER_CLIENTS,
        from: "        self.scheduler.clients_left(now, &withdrawn, &accepted, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &[], &accepted, &mut self.dispatcher);\n",
    },
    Mutant {
        name: "a client that ended its side is sent for",
        file: SERVER_CLIENTS,
        from: "        self.scheduler.clients_left(now, &withdrawn, &accepted, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &withdrawn, &[], &mut self.dispatcher);\n",
    },
    Mutant {
        name: "what waits for a connection is sent for a client that ended its side",
        file: SERVER_CLIENTS,
        from: "                engines.disable_resend(*attempt, context);\n",
        to: "                let _ = (attempt, &engines, &context);\n",
    },
    Mutant {
        name: "the scheduler is not told of the shutdown",
        file: SERVER_SHUTDOWN,
        from: "        self.scheduler.shutting_down(now, deadline, &mut self.dispatcher);\n",
        to: "",
    },
    Mutant {
        name: "leaves with requests open",
        file: SERVER_SHUTDOWN,
        from: "        requests.is_empty() && clients",
        to: "        let _ = requests;\n        clients",
    },
    Mutant {
        name: "silent clients are kept",
        file: CLIENTS,
        from: "            IdleCheck::Idle\n",
        to: "            IdleCheck::CheckAgain(now + IDLE_TIMEOUT)\n",
    },
    Mutant {
        name: "a shut client is never finished",
        file: CLIENTS,
        from: "client.takes_no_input() && client.awaits_nothing()",
        to: "client.takes_no_input() && !client.awaits_nothing()",
    },
    Mutant {
        name: "half a line is skipped",
        file: CLIENT,
        from: "        self.scanned_for_line = 0;\n",
        to: "",
    },
    discovery("a change taken after a gap", "number != last + 1", "number == u64::MAX"),
    discovery("an event taken twice", "if number <= last =>", "if number < last =>"),
    discovery("a lost event not noticed", "if number > last =>", "if number == u64::MAX =>"),
    discovery(
        "an unknown kind listed",
        "endpoint.kind >= self.kind_count",
        "endpoint.kind > self.kind_count",
    ),
    discovery("the last event forgotten", "self.last_event = number;", ""),
    discovery(
        "half a frame kept over a new connection",
        "Self { input: Ring::default(), subscribed: false, ..*self }",
        "Self { input: self.input.clone(), subscribed: false, ..*self }",
    ),
    Mutant {
        name: "urgency does not count",
        file: QUEUES,
        from: "let urgency = if for_all { 0 } else { waiting.urgency };",
        to: "let urgency = 0;",
    },
    Mutant {
        name: "what is given back stays charged",
        file: QUEUES,
        from: "self.put_down(team, charged);",
        to: "let _ = charged;",
    },
    Mutant {
        name: "a request of a team that is gone is lost",
        file: QUEUES,
        from: "            self.enter(now, request, waiting);\n        }",
        to: "            if to.get(waiting.team()).is_some() { self.enter(now, request, waiting) }\n        }",
    },
    Mutant {
        name: "turns are not charged",
        file: ORDER,
        from: "row.start = start.saturating_add(stretch(work, row.share));",
        to: "row.start = start.saturating_add(stretch(work * 0.0, row.share));",
    },
    Mutant {
        name: "priority without bound",
        file: QUEUES,
        from: "let ground = (urgency + aged).min(MOST_GROUND);",
        to: "let ground = urgency * 9 + aged;",
    },
];

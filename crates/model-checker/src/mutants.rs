//! Mutants: small faults that are made in a copy of the code, one at a time, and that an exploration must detect.

mod runner;

pub use runner::{EditError, edited, run};

/// One fault, as an edit of a source file.
pub struct Mutant {
    /// The name on the command line, unique among all mutants.
    pub name: &'static str,
    /// The edited file, relative to the root of the repository.
    pub file: &'static str,
    /// The text to replace, which must occur in the file exactly once.
    pub from: &'static str,
    /// The text that replaces it; empty to delete it.
    pub to: &'static str,
}

const DEADLINES: &str = "src/policy/deadlines.rs";
const ESTIMATES: &str = "src/policy/estimates.rs";
const ORDERING: &str = "src/policy/ordering.rs";
const PLACEMENT: &str = "src/policy/placement.rs";
const RETRIES: &str = "src/policy/retries.rs";
const SLOW_START: &str = "src/policy/slow_start.rs";
const ENGINE_STATE: &str = "src/state/engine.rs";
const INPUT: &str = "src/input.rs";
const RECORDING: &str = "src/state/recording.rs";
const REQUEST_STATE: &str = "src/state/request.rs";

const RESP: &str = "crates/router/src/resp.rs";
const DISPATCH: &str = "crates/router/src/dispatch.rs";
const REQUEST_TABLE: &str = "crates/router/src/request_table.rs";
const SERVER_CLIENTS: &str = "crates/router/src/server/clients.rs";
const SERVER_SHUTDOWN: &str = "crates/router/src/server/shutdown.rs";
const CLIENTS: &str = "crates/router/src/clients.rs";
const CLIENT: &str = "crates/router/src/clients/client.rs";
const TEAM_QUEUE: &str = "crates/teams/src/team_queue.rs";
const TEAM_CHARGING: &str = "crates/teams/src/queues/charging.rs";
const TEAM_RECONFIGURE: &str = "crates/teams/src/queues/reconfigure.rs";
const TEAM_REQUEST: &str = "crates/teams/src/request.rs";
const FAIR_ORDER: &str = "crates/teams/src/fair_order.rs";
const DISCOVERY: &str = "crates/router/src/discovery.rs";
/// The folder of the engine pool. Mutants below it are explored in the scenarios of the connection model first.
const ENGINE_POOL: &str = "crates/router/src/engine_pool/";
const POOL_ATTEMPT: &str = "crates/router/src/engine_pool/attempt_lifecycle.rs";
const POOL_CONNECTION: &str = "crates/router/src/engine_pool/connection_lifecycle.rs";
const POOL_ENDPOINTS: &str = "crates/router/src/engine_pool/endpoints.rs";
const POOL_REPLIES: &str = "crates/router/src/engine_pool/replies.rs";
const POOL_REPLY: &str = "crates/router/src/engine_pool/reply.rs";
const POOL_REPLY_FIELDS: &str = "crates/router/src/engine_pool/reply_fields.rs";
const POOL_WRITE_QUEUE: &str = "crates/router/src/engine_pool/write_queue.rs";
const POOL_RESULT_PAGES: &str = "crates/router/src/engine_pool/result_pages.rs";

/// Returns a mutant of the reader of the discovery connection.
const fn discovery(name: &'static str, from: &'static str, to: &'static str) -> Mutant {
    Mutant { name, file: DISCOVERY, from, to }
}

const fn scheduler(name: &'static str, file: &'static str, from: &'static str, to: &'static str) -> Mutant {
    Mutant { name, file, from, to }
}

/// All mutants. An exploration of all scenarios must detect each of them.
pub const MUTANTS: &[Mutant] = &[
    scheduler(
        "attempt limit off by one",
        RETRIES,
        "request.attempts.len() < self.attempt_limits.max_attempts",
        "request.attempts.len() <= self.attempt_limits.max_attempts",
    ),
    scheduler(
        "window doubled",
        RETRIES,
        "(first.key_window_start() + *window)",
        "(first.key_window_start() + *window * 2)",
    ),
    scheduler(
        "cell ignored",
        PLACEMENT,
        "KeyScope::Cell => first.cell == engine.cell",
        "KeyScope::Cell => first.cell == first.cell",
    ),
    scheduler(
        "location ignored",
        PLACEMENT,
        "KeyScope::Location => first.location == engine.location",
        "KeyScope::Location => true",
    ),
    scheduler(
        "drained engine allowed",
        PLACEMENT,
        "engine.lifecycle.accepts_requests() && is_allowed_by_class && is_in_key_scope",
        "is_allowed_by_class && is_in_key_scope",
    ),
    scheduler(
        "placement ignored",
        PLACEMENT,
        "engine.lifecycle.accepts_requests() && is_allowed_by_class && is_in_key_scope",
        "engine.lifecycle.accepts_requests() && is_in_key_scope",
    ),
    scheduler(
        "non-idempotent sent again",
        RETRIES,
        "Idempotency::NonIdempotent => false",
        "Idempotency::NonIdempotent => true",
    ),
    scheduler(
        "key window not stated",
        RETRIES,
        "key_window_end: self.key_window_end(request)",
        "key_window_end: None",
    ),
    scheduler(
        "rejected after the key window",
        RETRIES,
        "self.is_key_remembered(request, now + retry_after.unwrap_or_default())",
        "self.is_key_remembered(request, now - retry_after.unwrap_or(now))",
    ),
    scheduler("unsafe rejection", RETRIES, "_ => request.first_that_may_have_run().is_none(),", "_ => true,"),
    scheduler(
        "a broken attempt never ran",
        INPUT,
        "!matches!(self, Self::Overloaded | Self::Unreachable | Self::NotSent | Self::Lapsed(_))",
        "!matches!(self, Self::Overloaded | Self::Unreachable | Self::Broken | Self::Lapsed(_))",
    ),
    scheduler(
        "key order ignored",
        ORDERING,
        "key_queue.requests.front() == Some(&id)\n            && key_queue\n",
        "key_queue\n",
    ),
    scheduler(
        "key cooldown ignored",
        ORDERING,
        "cooldown.exempt_request == id || cooldown.until <= now",
        "cooldown.exempt_request == id || cooldown.until > Duration::ZERO",
    ),
    scheduler(
        "key cooldown after breaks forgotten",
        ORDERING,
        "matches!(ended.outcome, TimedOut | Broken | Cancelled)",
        "matches!(ended.outcome, TimedOut | Cancelled)",
    ),
    scheduler(
        "retry budget off by one",
        RETRIES,
        "budget.min_retries + budget.per_request",
        "1.0 + budget.min_retries + budget.per_request",
    ),
    scheduler("retries not counted", RECORDING, "self.retried_at.push_back(now);", ""),
    scheduler(
        "two in a warming engine's window",
        SLOW_START,
        "sent_work + usual_work <= max_work",
        "sent_work <= max_work",
    ),
    scheduler(
        "slow start window halved",
        SLOW_START,
        "let window = self.attempt_limits.overload_window.mul_f64(factor.min(MAX_WINDOW_FACTOR));",
        "let window = self.attempt_limits.overload_window.mul_f64(factor.min(MAX_WINDOW_FACTOR) / 2.0);",
    ),
    scheduler(
        "no slow start after a launch",
        ENGINE_STATE,
        "warming_since: row.launched_at,",
        "warming_since: None,",
    ),
    scheduler(
        "cancelled again",
        RETRIES,
        "may_cancel && !self.requests[&id.request].attempts[id.attempt].cancelled",
        "may_cancel",
    ),
    scheduler("cancels where it may not", RETRIES, "may_cancel && !self", "!self"),
    scheduler(
        "a queued request answered long after its deadline",
        DEADLINES,
        "|| due_by >= request.deadline\n",
        "|| due_by >= request.deadline + (request.deadline - request.arrived_at)\n",
    ),
    scheduler(
        "answers too late",
        DEADLINES,
        "let due_by = now + self.final_answer_lead();",
        "let due_by = now;",
    ),
    scheduler(
        "no wake-up for an attempt in flight",
        DEADLINES,
        "if !self.requests.is_empty() && (self.wake_due",
        "if self.queued().next().is_some() && (self.wake_due",
    ),
    scheduler("answered again", DEADLINES, "self.record_done(*id);", ""),
    scheduler(
        "sent while an attempt is in flight",
        REQUEST_STATE,
        "!self.is_done() && !self.is_in_flight()",
        "!self.is_done()",
    ),
    scheduler("grant without limit", ESTIMATES, "grant.min(limit)", "grant.min(limit * 2.0)"),
    scheduler(
        "engines never forgotten",
        DEADLINES,
        "let Some(removed) = self.engine_index.first_forgettable() else",
        "let Some(removed) = self.engine_index.first_forgettable().filter(|_| false) else",
    ),
    scheduler(
        "a disconnect is not recorded",
        RECORDING,
        "for id in cancelled {\n            self.record_done(*id);\n        }",
        "let _ = cancelled;",
    ),
    scheduler(
        "the end of the process is ignored",
        DEADLINES,
        "due_by >= self.shutdown_at || request.is_queued()",
        "request.is_queued()",
    ),
    Mutant {
        name: "limits ignored at the write",
        file: POOL_WRITE_QUEUE,
        from: "lapsed: attempt.send_limits().lapsed_at(now),",
        to: "lapsed: None,",
    },
    Mutant {
        name: "a partly written call is always completed",
        file: POOL_WRITE_QUEUE,
        from: "let Some(condition) = call.limits.lapsed_at(context.now()) else { return false };",
        to: "let Some(condition) = call.limits.lapsed_at(context.now()).filter(|_| false) else { return false };",
    },
    Mutant {
        name: "an abandoned call is completed later",
        file: POOL_WRITE_QUEUE,
        from: "call.limits.timeout_at = now + ABANDONED_CALL_GRACE;",
        to: "call.limits.timeout_at += now;",
    },
    Mutant {
        name: "unwritten calls kept at a drain",
        file: POOL_ATTEMPT,
        from: "attempt.call_offset == Some(connection.output.front_offset())",
        to: "attempt.call_offset == Some(connection.output.front_offset() + 1)",
    },
    Mutant {
        name: "queued calls remain at a drain",
        file: POOL_ENDPOINTS,
        from: "let mut unsent = connection.waiting_attempts.clone();",
        to: "let mut unsent = Vec::new();",
    },
    Mutant {
        name: "a retry where a late answer may arrive",
        file: POOL_CONNECTION,
        from: "!excluded.contains(&slot) && !connection.attempts.contains_key(request_name)",
        to: "!connection.attempts.contains_key(request_name)",
    },
    Mutant {
        name: "a partly written call is sent again",
        file: POOL_CONNECTION,
        from: "if attempt.write_has_begun(written) {",
        to: "if attempt.write_has_begun(written.saturating_sub(1 << 40)) {",
    },
    Mutant {
        name: "a written call ends as not sent",
        file: POOL_ATTEMPT,
        from: "if attempt.call_offset.is_none() {\n            return self.end(attempt_slot, unsent_outcome,",
        to: "if attempt.request_name.is_empty() || attempt.call_offset.is_some() {\n            return self.end(attempt_slot, unsent_outcome,",
    },
    Mutant {
        name: "idle connections stay open",
        file: POOL_ATTEMPT,
        from: "context.timers.set(idle_due, Timer::ConnectionIdleTimeout(connection_slot));",
        to: "",
    },
    Mutant {
        name: "a result without its last pages",
        file: POOL_RESULT_PAGES,
        from: "self.pages.len() == self.page_count",
        to: "!self.pages.is_empty()",
    },
    Mutant {
        name: "an array of any length is an answer",
        file: RESP,
        from: "    if header.value != N {\n        return Err(RespError::PartCount { found: header.value, expected: N });\n    }\n    let mut length = header.encoded_bytes;\n    let mut parts = [[].as_slice(); N];\n    for (part, limit) in parts.iter_mut().zip(max_part_bytes) {",
        to: "    let mut length = header.encoded_bytes;\n    let mut parts = [[].as_slice(); N];\n    for (part, limit) in parts.iter_mut().zip(max_part_bytes).take(header.value) {",
    },
    Mutant {
        name: "a result without `pages` has one page",
        file: POOL_REPLY_FIELDS,
        from: "self.whole_number(\"pages\")?.ok_or(EngineProtocolError::NoPageCount)?",
        to: "self.whole_number(\"pages\")?.unwrap_or(1)",
    },
    Mutant {
        name: "a page over its size is stored",
        file: POOL_REPLY,
        from: "const MAX_PAGE_BYTES: usize = 6_000;",
        to: "const MAX_PAGE_BYTES: usize = 20_000;",
    },
    Mutant {
        name: "bytes of ended results stay counted",
        file: POOL_ATTEMPT,
        from: "self.result_bytes.release(attempt.result.as_ref().map_or(0, ResultPages::bytes));",
        to: "",
    },
    Mutant {
        name: "a second answer restarts a result",
        file: POOL_REPLIES,
        from: "if let Some(result) = &attempt.result {",
        to: "if let Some(result) = attempt.result.as_ref().filter(|_| attempt.number > 9) {",
    },
    Mutant {
        name: "an answer ends any attempt",
        file: POOL_REPLIES,
        from: "match self.attempt_by_request_name(connection_slot, &reply.id) {",
        to: "match self.attempt_by_request_name(connection_slot, &reply.id).or_else(|| self.connections.get(connection_slot)?.attempts.values().next().copied()) {",
    },
    Mutant {
        name: "an attempt without a deadline",
        file: POOL_ATTEMPT,
        from: "        context.timers.set(call.limits.timeout_at, Timer::AttemptDeadline(attempt_slot));\n",
        to: "",
    },
    Mutant {
        name: "an answered request is not cancelled",
        file: DISPATCH,
        from: "            self.engines.cancel(*attempt, &mut self.context);\n        }\n        Some(request)",
        to: "            let _ = attempt;\n        }\n        Some(request)",
    },
    Mutant {
        name: "an open request is accepted again",
        file: REQUEST_TABLE,
        from: "self.names.contains(name)",
        to: "self.names.contains(name) && name.is_empty()",
    },
    Mutant {
        name: "requests of a closed client stay open",
        file: SERVER_CLIENTS,
        from: "        client.open_requests.into_values().collect()",
        to: "        drop(client.open_requests);\n        Vec::new()",
    },
    Mutant {
        name: "a cancellation is not passed on",
        file: SERVER_CLIENTS,
        from: "        self.scheduler.clients_left(now, &cancelled, &accepted, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &[], &accepted, &mut self.dispatcher);\n",
    },
    Mutant {
        name: "a half-close is not passed on",
        file: SERVER_CLIENTS,
        from: "        self.scheduler.clients_left(now, &cancelled, &accepted, &mut self.dispatcher);\n",
        to: "        self.scheduler.clients_left(now, &cancelled, &[], &mut self.dispatcher);\n",
    },
    Mutant {
        name: "a queued call for a half-closed client",
        file: SERVER_CLIENTS,
        from: "                engines.disable_resend(*attempt, context);\n",
        to: "                let _ = (attempt, &engines, &context);\n",
    },
    Mutant {
        name: "the scheduler misses the shutdown",
        file: SERVER_SHUTDOWN,
        from: "        self.scheduler.start_shutdown(now, deadline, &mut self.dispatcher);\n",
        to: "",
    },
    Mutant {
        name: "stops with open requests",
        file: SERVER_SHUTDOWN,
        from: "        requests.is_empty() && clients",
        to: "        let _ = requests;\n        clients",
    },
    Mutant {
        name: "idle clients stay connected",
        file: CLIENTS,
        from: "            IdleCheck::Idle\n",
        to: "            IdleCheck::CheckAgain(now + IDLE_TIMEOUT)\n",
    },
    Mutant {
        name: "a closed client is never removed",
        file: CLIENTS,
        from: "!client.accepts_lines() && client.is_idle()",
        to: "!client.accepts_lines() && !client.is_idle()",
    },
    Mutant {
        name: "half a line is skipped",
        file: CLIENT,
        from: "        self.newline_free_bytes = 0;\n",
        to: "",
    },
    discovery("a change accepted after a gap", "number != last + 1", "number == u64::MAX"),
    discovery("an event accepted twice", "if number <= last =>", "if number < last =>"),
    discovery("a lost event not detected", "if number > last =>", "if number == u64::MAX =>"),
    discovery(
        "an unknown kind listed",
        "endpoint.kind >= self.kind_count",
        "endpoint.kind > self.kind_count",
    ),
    discovery("the last event not recorded", "self.last_event = number;", ""),
    discovery(
        "half a frame kept on reconnection",
        "Self { input: RingBuffer::default(), subscribed: false, ..*self }",
        "Self { input: self.input.clone(), subscribed: false, ..*self }",
    ),
    Mutant {
        name: "urgency ignored",
        file: TEAM_QUEUE,
        from: "let urgency = if ignores_urgency { 0 } else { request.urgency };",
        to: "let urgency = 0;",
    },
    Mutant {
        name: "an ended request stays charged",
        file: TEAM_CHARGING,
        from: "self.key_order.forget(request);\n        self.team_queues[team].remove_in_flight_charge(charged_s);",
        to: "self.key_order.forget(request);",
    },
    Mutant {
        name: "a request of a team that is removed is lost",
        file: TEAM_RECONFIGURE,
        from: "            self.insert_waiting(now, id, request);\n        }",
        to: "            if new_indices.get(request.team()).is_some() { self.insert_waiting(now, id, request) }\n        }",
    },
    Mutant {
        name: "dispatches are not charged",
        file: FAIR_ORDER,
        from: "flow.start = former_start.saturating_add(virtual_nanos(work_s, flow.share));",
        to: "flow.start = former_start.saturating_add(virtual_nanos(work_s * 0.0, flow.share));",
    },
    Mutant {
        name: "priority without bound",
        file: TEAM_REQUEST,
        from: "let levels = (urgency + levels_by_age).min(MAX_PRIORITY_LEVELS);",
        to: "let levels = urgency * 9 + levels_by_age;",
    },
];

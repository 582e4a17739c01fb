//! Harness of the scenarios: holds the queues under test, advances their time and logs the results.

use emberflow_teams::{
    Allowance, NewRequest, Organization, Outcome, Queues, Quotas, Rejection, RequestId, Team,
};
use std::fmt::Write;
use std::time::Duration;

/// Converts milliseconds to a duration.
pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns the allowance of a team, from times in milliseconds.
pub fn allowance(work_ms: u64, period_ms: u64, burst_ms: u64) -> Option<Allowance> {
    Some(Allowance { work: ms(work_ms), period: ms(period_ms), burst: ms(burst_ms) })
}

/// Returns the quotas of teams in one organization, from their shares and allowances.
pub fn one_organization(teams: &[(f64, Option<Allowance>)]) -> Quotas {
    let team = |(share, allowance): &(f64, Option<Allowance>)| Team {
        organization: 0,
        share: *share,
        allowance: *allowance,
        max_waiting: 5,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: teams.iter().map(team).collect() }
}

/// A running scenario.
pub struct Scenario {
    pub queues: Queues,
    /// Time since the start of the scenario.
    pub now_ms: u64,
    /// Number of the next request, counted from 0.
    pub next_request: RequestId,
    log: String,
}

impl Scenario {
    /// Starts a scenario with empty queues at time 0.
    pub fn new(quotas: Quotas) -> Self {
        Self { queues: Queues::new(quotas, Duration::ZERO), now_ms: 0, next_request: 0, log: String::new() }
    }

    /// Advances the time, and updates the queues' order of dispatch.
    pub fn advance_to(&mut self, now_ms: u64) -> &mut Self {
        self.now_ms = now_ms;
        self.queues.advance(ms(now_ms));
        self
    }

    /// Enqueues a request of the first team, after `edit` has changed its default properties. Logs a rejection.
    pub fn enqueue_with(&mut self, edit: impl Fn(&mut NewRequest)) -> &mut Self {
        let id = self.next_request;
        let mut new_request = NewRequest {
            id,
            team: 0,
            urgency: 0,
            class: 0,
            work: ms(100),
            latency_objective: ms(1000),
            deadline: ms(60_000),
            identity: None,
            key: None,
        };
        edit(&mut new_request);
        self.next_request += 1;
        if let Err(Rejection { reason, retry_after }) = self.queues.enqueue(ms(self.now_ms), new_request) {
            let (team, retry_after_ms) = (new_request.team, retry_after.as_millis());
            self.log(format!(
                "request {id} of team {team} is rejected, {reason:?}, retry after {retry_after_ms} ms"
            ));
        }
        self
    }

    /// Enqueues a request of a team with `work_ms` milliseconds of work. Logs a rejection.
    pub fn enqueue(&mut self, team: usize, work_ms: u64) -> &mut Self {
        self.enqueue_with(|new_request| (new_request.team, new_request.work) = (team, ms(work_ms)))
    }

    /// Dispatches the next request `count` times. Logs each request, or that none waits.
    pub fn dispatch(&mut self, count: usize) -> &mut Self {
        for _ in 0..count {
            let next = self.queues.dispatch_order().next();
            let Some(request) = next else {
                self.log("no request waits".to_owned());
                continue;
            };
            assert!(self.queues.dispatch(ms(self.now_ms), request), "request {request} waits");
            self.log(format!("request {request} is dispatched"));
        }
        self
    }

    /// Settles a dispatched request at the current time.
    pub fn settle(&mut self, request: RequestId, outcome: Outcome) -> &mut Self {
        self.queues.settle(ms(self.now_ms), request, outcome);
        self
    }

    /// Appends the current time in milliseconds and `line` to the log.
    pub fn log(&mut self, line: String) -> &mut Self {
        let _ = writeln!(self.log, "{:<6}{line}", self.now_ms);
        self
    }

    /// Logs the remaining budget of a team; NaN for a team without a budget.
    pub fn log_budget(&mut self, team: usize) -> &mut Self {
        let remaining = self.queues.budget_remaining(team).unwrap_or(f64::NAN);
        self.log(format!("team {team} has {:.0} ms of its budget left", remaining * 1e3))
    }

    /// Returns the log and clears it.
    pub fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log)
    }
}

//! The queues of a scenario, with a clock in milliseconds and a log.

use emberflow_teams::{
    Allowance, NewRequest, Organization, Outcome, Queues, Quotas, Rejection, RequestId, Team,
};
use std::fmt::Write;
use std::time::Duration;

/// Returns a time in milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a budget from its times in milliseconds.
pub fn allowance(work: u64, period: u64, burst: u64) -> Option<Allowance> {
    Some(Allowance { work: ms(work), period: ms(period), burst: ms(burst) })
}

/// Returns the quotas of teams of one organization, from their shares and budgets.
pub fn one_organization(teams: &[(f64, Option<Allowance>)]) -> Quotas {
    let team = |(share, allowance): &(f64, Option<Allowance>)| Team {
        organization: 0,
        share: *share,
        allowance: *allowance,
        max_waiting: 5,
    };
    Quotas { organizations: vec![Organization { share: 1.0 }], teams: teams.iter().map(team).collect() }
}

/// Queues under test, a clock and a log.
pub struct Scenario {
    pub queues: Queues,
    /// Milliseconds since the start.
    pub now: u64,
    pub next_request: RequestId,
    log: String,
}

impl Scenario {
    /// Starts with empty queues at time 0.
    pub fn of(quotas: Quotas) -> Self {
        Self { queues: Queues::new(quotas, Duration::ZERO), now: 0, next_request: 0, log: String::new() }
    }

    /// Advances the clock to `now` milliseconds.
    pub fn at(&mut self, now: u64) -> &mut Self {
        self.now = now;
        self.queues.advance(ms(now));
        self
    }

    /// Enqueues a request of the first team with default properties that `change` edits, and logs a rejection.
    pub fn enqueue_with(&mut self, change: impl Fn(&mut NewRequest)) -> &mut Self {
        let request = self.next_request;
        let mut new_request = NewRequest {
            request,
            team: 0,
            urgency: 0,
            class: 0,
            work: ms(100),
            latency_objective: ms(1000),
            deadline: ms(60_000),
            identity: None,
            key: None,
        };
        change(&mut new_request);
        self.next_request += 1;
        if let Err(Rejection { reason, retry_after }) = self.queues.enqueue(ms(self.now), new_request) {
            let (team, retry_after_ms) = (new_request.team, retry_after.as_millis());
            self.log(format!(
                "request {request} of team {team} is rejected, {reason:?}, retry after {retry_after_ms} ms"
            ));
        }
        self
    }

    /// Enqueues a request of `work` milliseconds.
    pub fn enqueue(&mut self, team: usize, work: u64) -> &mut Self {
        self.enqueue_with(|new_request| (new_request.team, new_request.work) = (team, ms(work)))
    }

    /// Dispatches the next `count` requests and logs them.
    pub fn dispatch(&mut self, count: usize) -> &mut Self {
        for _ in 0..count {
            let next = self.queues.dispatch_order().next();
            let Some(request) = next else {
                self.log("nothing waits".to_owned());
                continue;
            };
            assert!(self.queues.dispatch(ms(self.now), request), "request {request} waits");
            self.log(format!("request {request} is dispatched"));
        }
        self
    }

    /// Settles a dispatched request.
    pub fn settle(&mut self, request: RequestId, outcome: Outcome) -> &mut Self {
        self.queues.settle(ms(self.now), request, outcome);
        self
    }

    /// Adds a line with the time to the log.
    pub fn log(&mut self, line: String) -> &mut Self {
        let _ = writeln!(self.log, "{:<6}{line}", self.now);
        self
    }

    /// Logs the remaining budget of a team; NaN for a team without a budget.
    pub fn log_budget(&mut self, team: usize) -> &mut Self {
        let remaining = self.queues.budget_remaining(team).unwrap_or(f64::NAN);
        self.log(format!("team {team} has {:.0} ms of its budget left", remaining * 1e3))
    }

    /// Returns the log and starts a new one.
    pub fn take_log(&mut self) -> String {
        std::mem::take(&mut self.log)
    }
}

//! A skewed load: one of four teams sends ten times its share. The load is sent to a router without teams and to a
//! router with teams, so that their outcomes can be compared.

use crate::client::Client;
use crate::demo::{Demo, DemoError};
use crate::outcome::{RequestOutcome, WaitEstimate};
use crate::table::table;
use crate::workload::RequestProfile;
use std::time::{Duration, Instant};

const TEAMS: [&str; 4] = ["audit", "payroll", "posting", "tax"];
const OPERATOR_TEXT: &str = "{teams: {
    list: [{name: 'audit'}, {name: 'payroll'}, {name: 'posting'}, {name: 'tax'}],
    waits: {field: 'tell_wait', every_s: 3600},
}}";
const WAIT_FIELD: &str = "tell_wait";
const ENGINES: u32 = 3;
/// Connections of the flooding team, which needs more open requests than one connection allows.
const FLOODING_CONNECTIONS: usize = 4;
/// Rates on each connection of the flooding team, as a multiple of the base rates.
const FLOOD_FACTOR: f64 = 2.5;
/// Rates on the connection of each other team, as a multiple of the base rates.
const ORDINARY_FACTOR: f64 = 1.2;
/// Base rate of reports on a connection.
const REPORTS_PER_SECOND: f64 = 8.0;
/// Base rate of urgent lookups on a connection.
const URGENT_LOOKUPS_PER_SECOND: f64 = 1.0;
const LOOKUP_URGENCY: u8 = 2;
/// The deadline of all requests.
const DEADLINE: Duration = Duration::from_secs(12);
/// Length of the windows in which the teams' shares are compared, in seconds.
const WINDOW_S: u64 = 10;
/// Announced waits up to this likely wait, in seconds, are not compared with the actual waits.
const SHORT_WAIT_S: f64 = 0.1;
/// Lower bound of divisors, so that none is 0.
const MIN_DIVISOR: f64 = 1e-9;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
const PERCENT: f64 = 100.0;

/// Returns the clients of all teams. Three engines of four cores do 12 seconds of work in a second, so the equal share
/// of each team is 3 seconds. In a second, the flooding team sends 30 seconds of work, each other team a little over 3.
fn clients(seed: u64) -> Vec<Client> {
    let flooding = [(TEAMS[0], FLOOD_FACTOR); FLOODING_CONNECTIONS];
    let ordinary = TEAMS[1..].iter().map(|team| (*team, ORDINARY_FACTOR));
    let connections = flooding.into_iter().chain(ordinary);
    let client = |(index, (team, factor)): (usize, (&'static str, f64))| Client {
        team,
        wait_field: Some(WAIT_FIELD),
        profiles: profiles(factor),
        seed: seed.wrapping_add(index as u64),
        max_retries: 0,
    };
    connections.enumerate().map(client).collect()
}

/// Returns the request profiles of a connection: reports, and urgent lookups as about a tenth of the requests.
fn profiles(factor: f64) -> Vec<RequestProfile> {
    let report = RequestProfile {
        class: "report",
        rate: REPORTS_PER_SECOND * factor,
        work_ms: 300.0,
        memory_mb: 300.0,
        urgency: 0,
        deadline: DEADLINE,
    };
    let urgent_lookup = RequestProfile {
        class: "lookup",
        rate: URGENT_LOOKUPS_PER_SECOND * factor,
        work_ms: 20.0,
        memory_mb: 40.0,
        urgency: LOOKUP_URGENCY,
        deadline: DEADLINE,
    };
    vec![report, urgent_lookup]
}

/// Sorts the values and returns the quantile for `fraction`, which is from 0 to 1; 0 if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = ((values.len() as f64 - 1.0) * fraction).round() as usize;
    values.get(index).copied().unwrap_or(0.0)
}

/// How evenly the work is shared among the teams.
struct Fairness {
    /// Largest difference between a team's share of a window and an equal share, as a fraction of the equal share.
    worst_deviation: f64,
    /// Jain's index over the shares of all windows; 1 for equal shares.
    jain_index: f64,
}

/// A request that an engine has started.
struct StartedRequest {
    at: Instant,
    team: &'static str,
    work_s: f64,
}

/// Compares each team's share of the work that engines start in a window with an equal share. The first window, in
/// which the queues fill, and an incomplete last window are left out.
fn fairness(outcomes: &[RequestOutcome], duration: Duration) -> Fairness {
    let started = outcomes.iter().filter_map(|outcome| {
        let at = outcome.started_at?;
        Some(StartedRequest { at, team: outcome.team, work_s: outcome.work_s })
    });
    let started: Vec<StartedRequest> = started.collect();
    let Some(first) = started.iter().map(|request| request.at).min() else {
        return Fairness { worst_deviation: 1.0, jain_index: 0.0 };
    };
    let windows = 1..duration.as_secs() / WINDOW_S;
    let shares: Vec<f64> = windows.flat_map(|window| shares_of_window(&started, first, window)).collect();
    let sum: f64 = shares.iter().sum();
    let sum_of_squares: f64 = shares.iter().map(|share| share * share).sum();
    Fairness {
        worst_deviation: shares.iter().map(|share| (share - 1.0).abs()).fold(0.0, f64::max),
        jain_index: sum * sum / (shares.len() as f64 * sum_of_squares).max(MIN_DIVISOR),
    }
}

/// Returns each team's share of the work that engines started in a window, as a multiple of an equal share. `first` is
/// the start of window 0.
fn shares_of_window(started: &[StartedRequest], first: Instant, window: u64) -> [f64; TEAMS.len()] {
    let is_within = |request: &&StartedRequest| (request.at - first).as_secs() / WINDOW_S == window;
    let work = TEAMS.map(|team| -> f64 {
        let of_team = started.iter().filter(|request| request.team == team);
        of_team.filter(is_within).map(|request| request.work_s).sum()
    });
    let total: f64 = work.iter().sum();
    work.map(|work| work / total.max(MIN_DIVISOR) * TEAMS.len() as f64)
}

/// Runs the load without and with teams; returns the tables and figures of both runs as text.
pub fn compare(duration: Duration, seed: u64) -> Result<String, DemoError> {
    let mut text = String::new();
    for (name, operator_text) in [("without teams", None), ("with teams", Some(OPERATOR_TEXT.to_owned()))] {
        let demo =
            Demo { duration, seed, engine_count: ENGINES, operator_text, clients, loses_engine: false };
        let outcomes = demo.run(std::io::stderr())?;
        text += &format!("{name}, seed {seed}, {} s, {ENGINES} engines\n", duration.as_secs());
        text += &table(&outcomes);
        text += &summary(&outcomes, duration);
        text += &wait_summary(&outcomes);
        text.push('\n');
    }
    Ok(text)
}

/// Returns a line with the number of successes, the teams' shares and the wait of urgent requests.
fn summary(outcomes: &[RequestOutcome], duration: Duration) -> String {
    let successes: Vec<&RequestOutcome> = outcomes.iter().filter(|outcome| outcome.is_success()).collect();
    let urgent = successes.iter().filter(|outcome| outcome.is_urgent);
    let mut urgent_waits: Vec<f64> = urgent.filter_map(|outcome| Some(outcome.wait?.as_secs_f64())).collect();
    let Fairness { worst_deviation, jain_index } = fairness(outcomes, duration);
    format!(
        "succeeded {}, worst share of {WINDOW_S} s {:.1} % off, Jain {jain_index:.3}, urgent wait p99 {:.3} s\n",
        successes.len(),
        worst_deviation * PERCENT,
        quantile(&mut urgent_waits, P99)
    )
}

/// Returns a line that compares the announced waits with the actual waits; empty if no wait was announced.
fn wait_summary(outcomes: &[RequestOutcome]) -> String {
    let successes = outcomes.iter().filter(|outcome| outcome.is_success());
    let estimates: Vec<WaitEstimate> = successes
        .filter_map(|outcome| outcome.wait_estimate)
        .filter(|estimate| estimate.announced.likely_s > SHORT_WAIT_S)
        .collect();
    if estimates.is_empty() {
        return String::new();
    }
    let mut errors: Vec<f64> = estimates.iter().map(WaitEstimate::relative_error).collect();
    let within_range = estimates.iter().filter(|estimate| estimate.is_within_range()).count();
    format!(
        "{} waits announced over {SHORT_WAIT_S} s: {:.0} % off in the median, {:.0} % within the range\n",
        estimates.len(),
        quantile(&mut errors, MEDIAN) * PERCENT,
        within_range as f64 / estimates.len() as f64 * PERCENT
    )
}

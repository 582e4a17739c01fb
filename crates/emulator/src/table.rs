//! The table of outcomes that the demo prints.

use crate::outcome::{OutcomeKind, RequestOutcome};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Significant digits of the quantiles.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The median and the 99th percentile of some times, in milliseconds.
struct Quantiles {
    p50_ms: u64,
    p99_ms: u64,
}

/// One figure of each successful request that has it.
fn quantiles(outcomes: &[&RequestOutcome], figure: fn(&RequestOutcome) -> Option<Duration>) -> Quantiles {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS).expect("from 0 to 5 digits");
    let successes = outcomes.iter().filter(|outcome| outcome.is_success());
    for time in successes.filter_map(|outcome| figure(outcome)) {
        histogram.saturating_record(time.as_millis() as u64);
    }
    Quantiles { p50_ms: histogram.value_at_quantile(0.5), p99_ms: histogram.value_at_quantile(0.99) }
}

/// A table by team and request class: how many requests came to which outcome, and quantiles of wait and run in
/// milliseconds.
pub fn table(outcomes: &[RequestOutcome]) -> String {
    let mut groups: BTreeMap<(&str, &str), Vec<&RequestOutcome>> = BTreeMap::new();
    for outcome in outcomes {
        groups.entry((outcome.team, outcome.class)).or_default().push(outcome);
    }
    let rows = groups.iter().map(|((team, class), outcomes)| row(team, class, outcomes));
    header() + &rows.collect::<String>()
}

fn header() -> String {
    format!(
        "{:8} {:8} {:>6} {:>9} {:>8} {:>8} {:>7} {:>10} {:>8} {:>8} {:>8} {:>8}\n",
        "team",
        "class",
        "sent",
        "succeeded",
        "rejected",
        "failed",
        "invalid",
        "unanswered",
        "wait p50",
        "wait p99",
        "run p50",
        "run p99"
    )
}

fn row(team: &str, class: &str, outcomes: &[&RequestOutcome]) -> String {
    let count = |kind| outcomes.iter().filter(|outcome| outcome.kind == kind).count();
    let wait = quantiles(outcomes, |outcome| outcome.wait);
    let run = quantiles(outcomes, |outcome| outcome.run);
    format!(
        "{team:8} {class:8} {:>6} {:>9} {:>8} {:>8} {:>7} {:>10} {:>8} {:>8} {:>8} {:>8}\n",
        outcomes.len(),
        count(OutcomeKind::Succeeded),
        count(OutcomeKind::Rejected),
        count(OutcomeKind::Failed),
        count(OutcomeKind::Invalid),
        count(OutcomeKind::Unanswered),
        wait.p50_ms,
        wait.p99_ms,
        run.p50_ms,
        run.p99_ms,
    )
}

//! The table of outcomes that the commands print.

use crate::outcome::{OutcomeKind, RequestOutcome};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Precision of the quantiles, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;
/// Width of the names of teams and classes, in characters.
const NAME_WIDTH: usize = 8;
const COLUMN_COUNT: usize = 10;

/// A column of figures.
struct Column {
    title: &'static str,
    /// Width in characters.
    width: usize,
}

const COLUMNS: [Column; COLUMN_COUNT] = [
    Column { title: "sent", width: 6 },
    Column { title: "succeeded", width: 9 },
    Column { title: "rejected", width: 8 },
    Column { title: "failed", width: 8 },
    Column { title: "invalid", width: 7 },
    Column { title: "unanswered", width: 10 },
    Column { title: "wait p50", width: 8 },
    Column { title: "wait p99", width: 8 },
    Column { title: "run p50", width: 8 },
    Column { title: "run p99", width: 8 },
];

/// Returns a table with a line for each team and request class: the number of requests by outcome, and quantiles of the
/// wait and the run in milliseconds.
pub fn table(outcomes: &[RequestOutcome]) -> String {
    let mut groups: BTreeMap<(&str, &str), Vec<&RequestOutcome>> = BTreeMap::new();
    for outcome in outcomes {
        groups.entry((outcome.team, outcome.class)).or_default().push(outcome);
    }
    let mut text = line("team", "class", &COLUMNS.map(|column| column.title.to_owned()));
    for ((team, class), group) in groups {
        text += &line(team, class, &figures(&group).map(|figure| figure.to_string()));
    }
    text
}

/// Returns the figures of a line, in the order of [`COLUMNS`].
fn figures(outcomes: &[&RequestOutcome]) -> [u64; COLUMN_COUNT] {
    let count = |kind| outcomes.iter().filter(|outcome| outcome.kind == kind).count() as u64;
    let wait = Quantiles::of_successes(outcomes, |outcome| outcome.wait);
    let run = Quantiles::of_successes(outcomes, |outcome| outcome.run);
    [
        outcomes.len() as u64,
        count(OutcomeKind::Succeeded),
        count(OutcomeKind::Rejected),
        count(OutcomeKind::Failed),
        count(OutcomeKind::Invalid),
        count(OutcomeKind::Unanswered),
        wait.p50_ms,
        wait.p99_ms,
        run.p50_ms,
        run.p99_ms,
    ]
}

fn line(team: &str, class: &str, cells: &[String; COLUMN_COUNT]) -> String {
    let mut text = format!("{team:NAME_WIDTH$} {class:NAME_WIDTH$}");
    for (column, cell) in COLUMNS.iter().zip(cells) {
        text += &format!(" {cell:>width$}", width = column.width);
    }
    text + "\n"
}

/// The median and the 99th percentile of durations, in milliseconds.
struct Quantiles {
    p50_ms: u64,
    p99_ms: u64,
}

impl Quantiles {
    /// Returns the quantiles of the durations that `duration_of` returns for successful requests.
    fn of_successes(
        outcomes: &[&RequestOutcome],
        duration_of: fn(&RequestOutcome) -> Option<Duration>,
    ) -> Self {
        let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)
            .expect("the number of significant digits is from 0 to 5");
        let successes = outcomes.iter().filter(|outcome| outcome.is_success());
        for duration in successes.filter_map(|outcome| duration_of(outcome)) {
            histogram.saturating_record(duration.as_millis() as u64);
        }
        Self { p50_ms: histogram.value_at_quantile(MEDIAN), p99_ms: histogram.value_at_quantile(P99) }
    }
}

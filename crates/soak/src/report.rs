//! The report of a run: its figures, the violated invariants, and the histories of some of the requests concerned.

use crate::invariants::{Invariant, Violation};
use crate::records::{AnswerKind, Records};
use crate::routers::log_path;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Maximum number of violations that a report describes with the history of their request.
const MAX_HISTORIES: usize = 3;
/// Maximum number of log lines in a request's history.
const MAX_LOG_LINES: usize = 60;

/// The verdict on a run; the discriminants are the program's exit statuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Every invariant held.
    Held = 0,
    /// An invariant was violated.
    Violated = 1,
    /// The run could not be completed.
    Incomplete = 3,
}

/// The figures of a run and the violations of its invariants. The fields are keys of the JSON line.
#[derive(Serialize)]
pub struct Report {
    pub seed: u64,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Fraction of requests that succeeded before their deadline, without the requests whose clients departed.
    pub served: f64,
    /// Number of requests whose first answer is a rejection.
    pub rejected: usize,
    /// Number of requests whose first answer is a failure.
    pub failed: usize,
    /// Number of attempts that engines received.
    pub attempts: usize,
    /// Number of connections that engines accepted.
    pub engine_connections: u64,
    /// Number of bytes of endpoint lists and changes that discovery sent.
    pub list_bytes: u64,
    /// The highest processor time of any router's process.
    pub cpu_seconds: f64,
    /// The highest resident memory of any router.
    pub memory_kb: u64,
    /// The highest number of open file descriptors of any router.
    pub descriptors: usize,
    /// The longest stall of the emulation.
    pub longest_stall_ms: u128,
    /// Number of violations of each invariant; an invariant that held has no entry.
    pub violations: BTreeMap<Invariant, usize>,
    /// The first few violations.
    pub first_violations: Vec<Violation>,
    #[serde(skip)]
    histories: String,
}

impl Report {
    /// Returns the report of a run whose routers have their logs in `directory`.
    pub fn new(seed: u64, records: &Records, violations: Vec<Violation>, directory: &Path) -> Self {
        let mut violation_counts = BTreeMap::new();
        for violation in &violations {
            *violation_counts.entry(violation.invariant).or_insert(0) += 1;
        }
        let max_cpu = records.usage.iter().map(|usage| usage.cpu).max();
        Self {
            seed,
            requests: records.requests.len(),
            served: records.fraction_served(),
            rejected: count_answered(records, AnswerKind::Rejected),
            failed: count_answered(records, AnswerKind::Failed),
            attempts: records.requests.values().map(|request| request.attempts.len()).sum(),
            engine_connections: records.engine_connections,
            list_bytes: records.list_bytes,
            cpu_seconds: max_cpu.unwrap_or(Duration::ZERO).as_secs_f64(),
            memory_kb: records.usage.iter().map(|usage| usage.memory_kb).max().unwrap_or(0),
            descriptors: records.usage.iter().map(|usage| usage.descriptors).max().unwrap_or(0),
            longest_stall_ms: records.longest_stall().as_millis(),
            violations: violation_counts,
            histories: histories(&violations, records, directory),
            first_violations: violations.into_iter().take(MAX_HISTORIES).collect(),
        }
    }

    /// Returns the verdict on a completed run.
    pub fn verdict(&self) -> Verdict {
        if self.violations.is_empty() { Verdict::Held } else { Verdict::Violated }
    }

    /// Returns the report as one line of JSON, or as a line of text that the histories of some requests follow.
    pub fn text(&self, as_json: bool) -> String {
        if as_json {
            return serde_json::to_string(self).map_or_else(|error| error.to_string(), |line| line + "\n");
        }
        let verdict = if self.verdict() == Verdict::Held { "held" } else { "BROKEN" };
        format!(
            "seed {} {verdict} requests={} served={:.3} rejected={} failed={} attempts={} connections={} list_bytes={} \
             cpu_s={:.2} memory_kb={} descriptors={} stall_ms={} violations={:?}\n{}",
            self.seed,
            self.requests,
            self.served,
            self.rejected,
            self.failed,
            self.attempts,
            self.engine_connections,
            self.list_bytes,
            self.cpu_seconds,
            self.memory_kb,
            self.descriptors,
            self.longest_stall_ms,
            self.violations,
            self.histories
        )
    }
}

/// Counts the requests whose first answer is of the given kind.
fn count_answered(records: &Records, kind: AnswerKind) -> usize {
    let first_answers = records.requests.values().filter_map(|request| request.answers.first());
    first_answers.filter(|answer| answer.kind == kind).count()
}

/// Describes the first violation of each invariant, up to [`MAX_HISTORIES`], with the history of its request from the
/// records of clients and engines and from the router's log.
fn histories(violations: &[Violation], records: &Records, directory: &Path) -> String {
    let mut text = String::new();
    let mut described = Vec::new();
    for violation in violations {
        if described.contains(&violation.invariant) || described.len() >= MAX_HISTORIES {
            continue;
        }
        described.push(violation.invariant);
        let Violation { invariant, request, description } = violation;
        let request_id = request.as_deref().unwrap_or("-");
        let _ = writeln!(text, "  {invariant:?}: {description} request={request_id}");
        let Some(record) = records.requests.get(request_id) else { continue };
        let _ = writeln!(text, "    client and engines: {record:?}");
        for line in log_lines_of(request_id, &log_path(directory, record.router)) {
            let _ = writeln!(text, "    router: {line}");
        }
    }
    text
}

/// Returns the lines of a router's log about a request. The first one has the request's id and a number, by which the
/// following lines refer to the request.
fn log_lines_of(request_id: &str, log: &Path) -> Vec<String> {
    let text = fs::read(log).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default();
    let lines: Vec<&str> = text.lines().skip_while(|line| !line.contains(request_id)).collect();
    let Some(first_line) = lines.first() else { return Vec::new() };
    let number = field_value(first_line, "request").unwrap_or("-");
    let request_lines = lines.iter().filter(|line| field_value(line, "request") == Some(number));
    request_lines.take(MAX_LOG_LINES).map(|line| (*line).to_owned()).collect()
}

/// Returns the value of a field `name=value` of a log line.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

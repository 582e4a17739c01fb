//! One seed, from the start of its processes to the verdict.

use crate::invariants::{Rule, Violation, judge};
use crate::options::RunOptions;
use crate::records::{AnswerKind, Records};
use crate::world::{Programs, World};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Requests whose whole story is printed.
const STORIES: usize = 3;
/// Log lines of a story at the most.
const STORY_LINES: usize = 60;

/// What a run came to, in the order of exit statuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotWhole = 3,
}

/// A run's figures and what did not hold.
#[derive(Serialize)]
pub struct Report {
    pub seed: u64,
    pub requests: usize,
    pub served: f64,
    pub rejected: usize,
    pub failed: usize,
    pub attempts: usize,
    pub engine_connections: u64,
    pub list_bytes: u64,
    /// The most that any router used.
    pub cpu_seconds: f64,
    pub memory_kb: u64,
    pub descriptors: usize,
    pub longest_stall_ms: u128,
    pub violations: BTreeMap<Rule, usize>,
    pub first_violations: Vec<Violation>,
    #[serde(skip)]
    stories: String,
}

/// Runs one seed.
pub fn run_seed(seed: u64, options: &RunOptions) -> io::Result<Report> {
    let programs = find_programs(options)?;
    let directory = match &options.directory {
        Some(directory) => directory.join(format!("seed-{seed}")),
        None => std::env::temp_dir().join(format!("emberflow-soak-{}-{seed}", std::process::id())),
    };
    fs::create_dir_all(&directory)?;
    let mut world = World::start(options.clone(), seed, programs, &directory)?;
    let mut progress = |at: Duration| {
        let _ = write!(io::stderr(), "\rseed {seed}: {} s", at.as_secs());
    };
    let records = world.play(&mut progress)?;
    let _ = write!(io::stderr(), "\r");
    let violations = judge(&records, &world.terms());
    let report = Report::new(seed, &records, violations, &directory);
    if options.directory.is_none() {
        let _ = fs::remove_dir_all(&directory);
    }
    Ok(report)
}

/// The router's program and the library that is preloaded into it: beside this program, or where tests are built.
fn find_programs(options: &RunOptions) -> io::Result<Programs> {
    let own = std::env::current_exe()?;
    let beside: Vec<PathBuf> = own.ancestors().skip(1).take(2).map(Path::to_path_buf).collect();
    let find = |name: &str| {
        let places = beside.iter().flat_map(|place| [place.join(name), place.join("deps").join(name)]);
        let mut places = places.filter(|path| path.is_file());
        let missing = || io::Error::other(format!("{name} is not built: cargo build --workspace"));
        places.next().ok_or_else(missing)
    };
    Ok(Programs {
        router: match &options.router {
            Some(path) => path.clone(),
            None => find("emberflow")?,
        },
        shim: find("libemberflow_fault_shim.so")?,
    })
}

impl Report {
    fn new(seed: u64, records: &Records, violations: Vec<Violation>, directory: &Path) -> Self {
        let answers = |kind| {
            let requests = records.requests.values();
            requests
                .filter(|request| request.answers.first().is_some_and(|answer| answer.kind == kind))
                .count()
        };
        let mut counts = BTreeMap::new();
        for violation in &violations {
            *counts.entry(violation.rule).or_insert(0) += 1;
        }
        let usage = || records.usage.iter();
        Self {
            seed,
            requests: records.requests.len(),
            served: records.fraction_served(),
            rejected: answers(AnswerKind::Rejected),
            failed: answers(AnswerKind::Failed),
            attempts: records.requests.values().map(|request| request.attempts.len()).sum(),
            engine_connections: records.engine_connections,
            list_bytes: records.list_bytes,
            cpu_seconds: usage().map(|usage| usage.cpu.as_secs_f64()).fold(0.0, f64::max),
            memory_kb: usage().map(|usage| usage.memory_kb).max().unwrap_or(0),
            descriptors: usage().map(|usage| usage.descriptors).max().unwrap_or(0),
            longest_stall_ms: records.longest_stall().as_millis(),
            violations: counts,
            stories: stories(&violations, records, directory),
            first_violations: violations.into_iter().take(STORIES).collect(),
        }
    }

    /// Whether all invariants held.
    pub fn verdict(&self) -> Verdict {
        if self.violations.is_empty() { Verdict::Held } else { Verdict::Broken }
    }

    /// The report as a line, with the stories of requests that broke an invariant.
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
            self.stories
        )
    }
}

/// The first violations, each with what client, engines and the router's log say of its request.
fn stories(violations: &[Violation], records: &Records, directory: &Path) -> String {
    let mut text = String::new();
    let mut told = Vec::new();
    for violation in violations {
        if told.contains(&violation.rule) || told.len() >= STORIES {
            continue;
        }
        told.push(violation.rule);
        let request = violation.request.as_deref();
        let _ =
            writeln!(text, "  {:?}: {} request={}", violation.rule, violation.what, request.unwrap_or("-"));
        let Some((name, record)) = request.and_then(|name| Some((name, records.requests.get(name)?))) else {
            continue;
        };
        let _ = writeln!(text, "    client and engines: {record:?}");
        let log = directory.join(format!("router-{}.log", record.router));
        for line in log_lines(&log, name) {
            let _ = writeln!(text, "    router: {line}");
        }
    }
    text
}

/// The lines of a router's log about a request.
fn log_lines(log: &Path, name: &str) -> Vec<String> {
    let text = fs::read(log).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).unwrap_or_default();
    let Some(received) = text.lines().position(|line| line.contains(name)) else { return Vec::new() };
    let number = text.lines().nth(received).and_then(|line| line.split("request=").nth(1)?.split(' ').next());
    let field = format!("request={} ", number.unwrap_or("-"));
    let about = text.lines().skip(received).filter(|line| format!("{line} ").contains(&field));
    about.take(STORY_LINES).map(str::to_owned).collect()
}

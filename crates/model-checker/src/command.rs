//! The command line of `emberflow-model-checker`.

use crate::former_names::current_scenario_name;
use crate::mutants;
use crate::registry::{CheckReport, InvariantEntry, ScenarioEntry, invariants, scenarios};
use crate::search::Coverage;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "\
usage: emberflow-model-checker [SCENARIO ...]  explore the named scenarios, or all, and print the first violation
       emberflow-model-checker scenarios       list the scenarios and the invariants (also: worlds)
       emberflow-model-checker mutants [NAME ...]
                                          build a copy of the repository with each fault and print which
                                          invariant caught it
       emberflow-model-checker help
options of an exploration: --short        only the scenarios of the short set
                           --time S       stop after S seconds (300)
                           --memory M     stop when the process uses more than M MiB of memory (8000)
                           --threads N    number of threads (all cores)
exit status: 0 all invariants hold, or every fault was caught
             1 an invariant is violated or was never exercised, or a fault was not caught
             2 bad arguments
             3 stopped by the time or memory limit before every state was explored";

/// The beginning of the output line that names a violated invariant. The runner of mutants searches for it.
pub const VIOLATION_PREFIX: &str = "violated invariant: ";
/// The exit status for bad arguments.
const EXIT_USAGE: u8 = 2;
/// The exit status of an exploration that the time or memory limit has stopped.
const EXIT_INCOMPLETE: u8 = 3;
/// Time limit of all scenarios together, without `--time`.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(300);
/// Memory limit of the process in MiB, without `--memory`.
const DEFAULT_MEMORY_LIMIT_MIB: u64 = 8000;

enum Command {
    Explore { names: Vec<String>, options: Options },
    ListScenarios,
    RunMutants { names: Vec<String> },
    Help,
}

/// The options of an exploration.
struct Options {
    short_set_only: bool,
    time: Duration,
    memory_mib: u64,
    /// Number of threads; 0 means one thread for each core.
    threads: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            short_set_only: false,
            time: DEFAULT_TIME_LIMIT,
            memory_mib: DEFAULT_MEMORY_LIMIT_MIB,
            threads: 0,
        }
    }
}

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(Command::Explore { names, options }) => match select_scenarios(&names, &options) {
            Ok(entries) => run_exploration(&entries, names.is_empty() && !options.short_set_only, &options),
            Err(name) => usage_error(&format!("no scenario `{name}`; `scenarios` lists them")),
        },
        Ok(Command::ListScenarios) => list_scenarios(),
        Ok(Command::RunMutants { names }) => mutants::run(&names),
        Ok(Command::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(&error.to_string()),
    }
}

fn usage_error(error: &str) -> ExitCode {
    eprintln!("emberflow-model-checker: {error}\n{USAGE}");
    ExitCode::from(EXIT_USAGE)
}

fn list_scenarios() -> ExitCode {
    for entry in scenarios() {
        println!("{:28} {}", entry.name, entry.description);
    }
    println!();
    for invariant in invariants() {
        println!("{:28} {}", invariant.name, invariant.description);
    }
    ExitCode::SUCCESS
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut operands: Vec<String> = Vec::new();
    let mut options = Options::default();
    let mut has_options = false;
    while let Some(argument) = arguments.next()? {
        has_options |= matches!(argument, Long(_));
        match argument {
            Long("short") => options.short_set_only = true,
            Long("time") => options.time = Duration::from_secs(arguments.value()?.parse()?),
            Long("memory") => options.memory_mib = arguments.value()?.parse()?,
            Long("threads") => options.threads = arguments.value()?.parse()?,
            Short('h') | Long("help") => return Ok(Command::Help),
            Value(operand) => operands.push(operand.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match operands.first().map(String::as_str) {
        Some("mutants" | "scenarios" | "worlds" | "help") if has_options => {
            Err("--short, --time, --memory and --threads apply only to an exploration".into())
        }
        Some("mutants") => Ok(Command::RunMutants { names: operands.split_off(1) }),
        Some("scenarios" | "worlds") if operands.len() == 1 => Ok(Command::ListScenarios),
        Some("help") => Ok(Command::Help),
        _ => Ok(Command::Explore { names: operands, options }),
    }
}

/// Returns the scenarios with these names or former names; without names, all scenarios. The option `--short` keeps
/// only those of the short set. The error is the first unknown name.
fn select_scenarios<'a>(names: &'a [String], options: &Options) -> Result<Vec<ScenarioEntry>, &'a str> {
    let entries = scenarios();
    let is_unknown = |name: &&String| entries.iter().all(|entry| entry.name != current_scenario_name(name));
    if let Some(name) = names.iter().find(is_unknown) {
        return Err(name);
    }
    let is_selected = |entry: &ScenarioEntry| {
        let matches_names =
            names.is_empty() || names.iter().any(|name| current_scenario_name(name) == entry.name);
        matches_names && (entry.in_short_set || !options.short_set_only)
    };
    Ok(entries.into_iter().filter(is_selected).collect())
}

/// Explores scenarios one after another until the first violation. `is_full_set` is true if `entries` contains every
/// scenario; then every invariant must be exercised.
fn run_exploration(entries: &[ScenarioEntry], is_full_set: bool, options: &Options) -> ExitCode {
    let thread_pool = rayon::ThreadPoolBuilder::new().num_threads(options.threads).build_global();
    if let Err(error) = thread_pool {
        return usage_error(&format!("cannot start the thread pool: {error}"));
    }
    let started_at = Instant::now();
    let mut incomplete = Vec::new();
    println!(
        "{:28} {:>9} {:>6} {:>5} {:>9} {:>8} {:>8}  covered",
        "scenario", "states", "final", "depth", "states/s", "seconds", "MiB"
    );
    for entry in entries {
        let time_left = options.time.saturating_sub(started_at.elapsed());
        let report = (entry.check)(time_left, options.memory_mib);
        print_row(entry.name, &report);
        if report.violation.is_some() {
            print_violation(entry.name, &report);
            return ExitCode::FAILURE;
        }
        if matches!(report.statistics.coverage, Coverage::OutOfTime | Coverage::OutOfMemory) {
            incomplete.push(entry.name);
        }
    }
    if !incomplete.is_empty() {
        println!(
            "\nthe time or memory limit stopped these scenarios before every state was checked: {}",
            incomplete.join(", ")
        );
        return ExitCode::from(EXIT_INCOMPLETE);
    }
    print_result(is_full_set, started_at.elapsed())
}

fn print_row(name: &str, report: &CheckReport) {
    let statistics = &report.statistics;
    let seconds = statistics.elapsed.as_secs_f64();
    println!(
        "{name:28} {:>9} {:>6} {:>5} {:>9.0} {seconds:>8.1} {:>8}  {}",
        statistics.states,
        statistics.terminal_states,
        statistics.depth,
        statistics.states as f64 / seconds,
        statistics.peak_memory_mib,
        coverage_text(report)
    );
}

fn coverage_text(report: &CheckReport) -> String {
    let depth = report.statistics.depth;
    if report.violation.is_some() {
        return "stopped at a violated invariant".to_owned();
    }
    match report.statistics.coverage {
        Coverage::Complete => "complete".to_owned(),
        Coverage::ToDepth => format!("complete to depth {depth}"),
        Coverage::OutOfTime => format!("incomplete beyond depth {depth}: out of time"),
        Coverage::OutOfMemory => format!("incomplete beyond depth {depth}: out of memory"),
    }
}

fn print_violation(name: &str, report: &CheckReport) {
    let Some(violation) = &report.violation else { return };
    let invariants = invariants();
    let invariant = invariants.iter().find(|invariant| invariant.name == violation.invariant);
    let description = invariant.map_or("", |invariant| invariant.description);
    println!("\n{VIOLATION_PREFIX}{}: {description}", violation.invariant);
    println!(
        "after {} transitions in scenario `{name}`:\n\n{}",
        violation.transitions, violation.test_source
    );
}

/// Prints the result of an exploration in which every invariant held. The full set of scenarios fails if an invariant
/// was not exercised.
fn print_result(is_full_set: bool, elapsed: Duration) -> ExitCode {
    let invariants = invariants();
    let is_unexercised = |invariant: &&InvariantEntry| !invariant.is_exercised();
    let unexercised: Vec<_> =
        invariants.iter().filter(is_unexercised).map(|invariant| invariant.name).collect();
    if is_full_set && !unexercised.is_empty() {
        println!(
            "\nno explored state exercised these invariants, so nothing is shown about them: {}",
            unexercised.join(", ")
        );
        return ExitCode::FAILURE;
    }
    println!(
        "\nall invariants hold, {} of {} exercised, {:.0} s",
        invariants.len() - unexercised.len(),
        invariants.len(),
        elapsed.as_secs_f64()
    );
    if !unexercised.is_empty() {
        println!("not exercised: {}", unexercised.join(", "));
    }
    ExitCode::SUCCESS
}

//! `emberflow-soak`: runs real routers between emulated peers on loopback under overlapping faults drawn from a seed,
//! and checks the service's invariants. The exit status is 0 if all invariants held, 1 if one was violated, 2 for an
//! invalid command line, and 3 if a run could not be completed.

use clap::Parser;
use emberflow_soak::options::{Command, CommandLine};
use emberflow_soak::report::Verdict;
use emberflow_soak::run::run_seed;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let (seeds, options) = match command_line.command {
        Command::Run { seed, options } => (seed..seed + 1, options),
        Command::Seeds { range, options } => (range.0, options),
    };
    let mut worst_verdict = Verdict::Held;
    for seed in seeds {
        match run_seed(seed, &options) {
            Ok(report) => {
                worst_verdict = worst_verdict.max(report.verdict());
                print!("{}", report.text(options.json));
            }
            Err(error) => {
                worst_verdict = Verdict::Incomplete;
                eprintln!("emberflow-soak: seed {seed} could not be completed: {error}");
            }
        }
    }
    ExitCode::from(worst_verdict as u8)
}

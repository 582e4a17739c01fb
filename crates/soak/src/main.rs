//! `emberflow-soak`: runs real routers between emulated peers on loopback under overlapping faults drawn from a seed, and
//! checks the invariants of the service. Exit status 0 if every invariant held, 1 if one was violated, 2 for a wrong
//! command line, 3 if a run could not be completed.

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
    let mut worst = Verdict::Held;
    for seed in seeds {
        match run_seed(seed, &options) {
            Ok(report) => {
                worst = worst.max(report.verdict());
                print!("{}", report.text(options.json));
            }
            Err(error) => {
                worst = Verdict::Incomplete;
                eprintln!("emberflow-soak: seed {seed} could not be completed: {error}");
            }
        }
    }
    ExitCode::from(worst as u8)
}

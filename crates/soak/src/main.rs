//! `emberflow-soak`: real routers between emulated peers on loopback, under overlapping faults drawn from a seed, judged
//! by what clients and engines saw. Exit status 0 if no invariant broke, 1 if one did, 2 for a wrong command line, 3 if
//! a run could not be made whole.

use clap::Parser;
use emberflow_soak::options::{Command, CommandLine};
use emberflow_soak::run::{Verdict, run_seed};
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
                worst = Verdict::NotWhole;
                eprintln!("emberflow-soak: seed {seed} could not be run: {error}");
            }
        }
    }
    ExitCode::from(worst as u8)
}

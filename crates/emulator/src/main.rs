//! `emberflow-emulator`: its commands `demo` and `skewed` run a router between emulated peers on loopback.

use emberflow_emulator::demo::{Demo, mixed_clients};
use emberflow_emulator::skewed;
use emberflow_emulator::table::table;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
usage: emberflow-emulator demo [--seconds N] [--seed N] [--engines N] [--operator FILE]
       emberflow-emulator skewed [--seconds N] [--seed N]
starts emulated engines, a discovery service and a router on loopback, sends the mixed workload of three teams,
loses an engine half-way, and prints the outcomes (20 seconds, seed 1, 3 engines);
skewed has one of four teams send ten times its share, without and with a file of teams, and compares";

/// Exit status if a command fails.
const FAILURE: u8 = 1;
/// Exit status for an invalid command line.
const INVALID_ARGUMENTS: u8 = 2;
const MAX_SECONDS: u64 = 3600;
const MAX_ENGINES: u32 = 64;
const DEFAULT_DURATION: Duration = Duration::from_secs(20);
const DEFAULT_ENGINES: u32 = 3;

enum Command {
    Demo(Demo),
    Skewed { duration: Duration, seed: u64 },
    Help,
}

fn default_demo() -> Demo {
    Demo {
        duration: DEFAULT_DURATION,
        seed: 1,
        engine_count: DEFAULT_ENGINES,
        operator_text: None,
        clients: mixed_clients,
        loses_engine: true,
    }
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut demo = default_demo();
    let mut command = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("seconds") => {
                let seconds = arguments.value()?.parse::<u64>()?.clamp(1, MAX_SECONDS);
                demo.duration = Duration::from_secs(seconds);
            }
            Long("seed") => demo.seed = arguments.value()?.parse()?,
            Long("engines") => {
                demo.engine_count = arguments.value()?.parse::<u32>()?.clamp(1, MAX_ENGINES);
            }
            Long("operator") => demo.operator_text = Some(read_operator_file(&arguments.value()?)?),
            Short('h') | Long("help") => return Ok(Command::Help),
            Value(word) if command.is_none() => command = Some(word),
            other => return Err(other.unexpected()),
        }
    }
    match command {
        Some(word) if word == "demo" => Ok(Command::Demo(demo)),
        Some(word) if word == "skewed" => Ok(Command::Skewed { duration: demo.duration, seed: demo.seed }),
        Some(word) if word == "help" => Ok(Command::Help),
        Some(word) => Err(format!("unknown command: {}", word.to_string_lossy()).into()),
        None => Err("no command given".into()),
    }
}

fn read_operator_file(path: &std::ffi::OsStr) -> Result<String, lexopt::Error> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("cannot read {}: {error}", path.to_string_lossy()).into())
}

/// Prints the error and the usage; returns the exit status.
fn fail(error: &dyn std::fmt::Display, code: u8) -> ExitCode {
    eprintln!("emberflow-emulator: {error}\n{USAGE}");
    ExitCode::from(code)
}

fn main() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => return fail(&error, INVALID_ARGUMENTS),
    };
    let output = match command {
        Command::Help => Ok(format!("{USAGE}\n")),
        Command::Demo(demo) => demo.run(std::io::stderr()).map(|outcomes| table(&outcomes)),
        Command::Skewed { duration, seed } => skewed::compare(duration, seed),
    };
    match output {
        Ok(text) => print!("{text}"),
        Err(error) => return fail(&error, FAILURE),
    }
    ExitCode::SUCCESS
}

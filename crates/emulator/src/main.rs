//! `emberflow-emulator demo`: a first try on loopback.

use emberflow_emulator::demo::{Demo, mixed, table};
use emberflow_emulator::skewed;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
usage: emberflow-emulator demo [--seconds N] [--seed N] [--engines N] [--operator FILE]
       emberflow-emulator skewed [--seconds N] [--seed N]
starts stand-in engines, a bulletin and a router on loopback, sends the mixed work of three teams,
loses an engine half-way, and prints what became of it (20 seconds, seed 1, 3 engines);
skewed has one of four teams send ten times its share, without and with a file of teams, and compares";

enum Command {
    Demo(Demo),
    Skewed(Duration, u64),
    Help,
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut demo = Demo {
        lasts: Duration::from_secs(20),
        seed: 1,
        engines: 3,
        orders: None,
        clients: mixed,
        loses: true,
    };
    let mut word = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("seconds") => {
                demo.lasts = Duration::from_secs(arguments.value()?.parse::<u64>()?.clamp(1, 3600))
            }
            Long("seed") => demo.seed = arguments.value()?.parse()?,
            Long("engines") => demo.engines = arguments.value()?.parse::<u32>()?.clamp(1, 64),
            Long("operator") => {
                let path = arguments.value()?;
                let text = std::fs::read_to_string(&path);
                demo.orders = Some(text.map_err(|e| format!("{}: {e}", path.to_string_lossy()))?);
            }
            Short('h') | Long("help") => return Ok(Command::Help),
            Value(told) if word.is_none() => word = Some(told),
            other => return Err(other.unexpected()),
        }
    }
    match word {
        Some(word) if word == "demo" => Ok(Command::Demo(demo)),
        Some(word) if word == "skewed" => Ok(Command::Skewed(demo.lasts, demo.seed)),
        Some(word) if word == "help" => Ok(Command::Help),
        Some(word) => Err(format!("no such command: {}", word.to_string_lossy()).into()),
        None => Err("a command is missing".into()),
    }
}

fn main() -> ExitCode {
    let refuse = |error: String, code| {
        eprintln!("emberflow-emulator: {error}\n{USAGE}");
        ExitCode::from(code)
    };
    match parse(lexopt::Parser::from_env()) {
        Ok(Command::Help) => println!("{USAGE}"),
        Ok(Command::Demo(demo)) => match demo.run(std::io::stderr()) {
            Ok(fates) => print!("{}", table(&fates)),
            Err(error) => return refuse(error, 1),
        },
        Ok(Command::Skewed(lasts, seed)) => match skewed::run(lasts, seed) {
            Ok(text) => print!("{text}"),
            Err(error) => return refuse(error, 1),
        },
        Err(error) => return refuse(error.to_string(), 2),
    }
    ExitCode::SUCCESS
}

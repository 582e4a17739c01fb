//! The command line.

use crate::mutants;
use crate::search::Covered;
use crate::walks::{Entry, entries, laws};
use crate::witness;
use lexopt::prelude::*;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const USAGE: &str = "\
usage: emberflow-model-checker [WORLD ...]     walk the named worlds, or all, and tell the first broken law
       emberflow-model-checker worlds          list the worlds and the laws
       emberflow-model-checker mutants [NAME ...]
                                          plant each fault in a copy and tell which law caught it
       emberflow-model-checker help
options of a walk: --short        only the worlds of the short set
                   --time S       stop after so many seconds (300)
                   --memory MB    stop when the process holds so much (8000)
                   --threads N    as many threads (all cores)
exit: 0 all hold, 1 a law is broken, 2 bad words, 3 stopped before all was walked";

/// What a walk may take in all.
const TIME: Duration = Duration::from_secs(300);
const MEMORY_MB: u64 = 8000;

enum Command {
    Walk(Vec<String>, Allowed),
    Worlds,
    Mutants(Vec<String>),
    Help,
}

struct Allowed {
    short: bool,
    time: Duration,
    memory_mb: u64,
    threads: usize,
}

pub fn run() -> ExitCode {
    match parse(lexopt::Parser::from_env()) {
        Ok(Command::Walk(names, allowed)) => match chosen(&names, &allowed) {
            Ok(worlds) => explore(&worlds, names.is_empty() && !allowed.short, &allowed),
            Err(name) => refuse(&format!("no world `{name}`; `worlds` lists them")),
        },
        Ok(Command::Worlds) => {
            entries().iter().for_each(|world| println!("{:28} {}", world.name, world.says));
            println!();
            laws().for_each(|(name, says, _)| println!("{name:28} {says}"));
            ExitCode::SUCCESS
        }
        Ok(Command::Mutants(names)) => mutants::run(&names),
        Ok(Command::Help) => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        Err(error) => refuse(&error.to_string()),
    }
}

fn refuse(error: &str) -> ExitCode {
    eprintln!("emberflow-model-checker: {error}\n{USAGE}");
    ExitCode::from(2)
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut words: Vec<String> = Vec::new();
    let mut allowed = Allowed { short: false, time: TIME, memory_mb: MEMORY_MB, threads: 0 };
    let mut walks = false;
    while let Some(argument) = arguments.next()? {
        walks |= matches!(argument, Long(_));
        match argument {
            Long("short") => allowed.short = true,
            Long("time") => allowed.time = Duration::from_secs(arguments.value()?.parse()?),
            Long("memory") => allowed.memory_mb = arguments.value()?.parse()?,
            Long("threads") => allowed.threads = arguments.value()?.parse()?,
            Short('h') | Long("help") => return Ok(Command::Help),
            Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected()),
        }
    }
    match words.first().map(String::as_str) {
        Some("mutants" | "worlds" | "help") if walks => Err("options belong to a walk".into()),
        Some("mutants") => Ok(Command::Mutants(words.split_off(1))),
        Some("worlds") if words.len() == 1 => Ok(Command::Worlds),
        Some("help") => Ok(Command::Help),
        _ => Ok(Command::Walk(words, allowed)),
    }
}

/// The worlds named, or all of the set; the first name that is none.
fn chosen<'a>(names: &'a [String], allowed: &Allowed) -> Result<Vec<Entry>, &'a str> {
    let worlds = entries();
    if let Some(name) = names.iter().find(|name| worlds.iter().all(|world| world.name != name.as_str())) {
        return Err(name);
    }
    let wanted = |world: &Entry| {
        (names.is_empty() || names.iter().any(|name| name == world.name)) && (world.short || !allowed.short)
    };
    Ok(worlds.into_iter().filter(wanted).collect())
}

fn explore(worlds: &[Entry], all: bool, allowed: &Allowed) -> ExitCode {
    let threads = rayon::ThreadPoolBuilder::new().num_threads(allowed.threads).build_global();
    if let Err(error) = threads {
        return refuse(&error.to_string());
    }
    let begun = Instant::now();
    let mut unfinished = Vec::new();
    println!(
        "{:28} {:>9} {:>6} {:>5} {:>9} {:>8} {:>8}  covered",
        "world", "states", "ends", "depth", "states/s", "seconds", "MB"
    );
    for world in worlds {
        let time = allowed.time.saturating_sub(begun.elapsed());
        let told = (world.walk)(time, allowed.memory_mb);
        let extent = &told.extent;
        let covered = match extent.covered {
            _ if told.broken.is_some() => "stopped at a broken law".to_owned(),
            Covered::Whole => "whole".to_owned(),
            Covered::ToDepth => format!("whole to depth {}", extent.depth),
            Covered::OutOfTime => format!("incomplete beyond depth {}: out of time", extent.depth),
            Covered::OutOfMemory => format!("incomplete beyond depth {}: out of memory", extent.depth),
        };
        let (states, seconds) = (extent.states, extent.took.as_secs_f64());
        println!(
            "{:28} {states:>9} {:>6} {:>5} {:>9.0} {seconds:>8.1} {:>8}  {covered}",
            world.name,
            extent.ends,
            extent.depth,
            states as f64 / seconds,
            extent.memory_mb
        );
        if let Some((law, steps, path)) = &told.broken {
            let says = laws().find(|(name, ..)| name == law).map_or("", |(_, says, _)| says);
            println!("\nbroken law: {law}: {says}\nafter {steps} steps in world `{}`:\n\n{path}", world.name);
            return ExitCode::FAILURE;
        }
        if matches!(extent.covered, Covered::OutOfTime | Covered::OutOfMemory) {
            unfinished.push(world.name);
        }
    }
    if !unfinished.is_empty() {
        println!("\nincomplete, so nothing is told of the rest: {}", unfinished.join(", "));
        return ExitCode::from(3);
    }
    let idle: Vec<_> = laws().filter(|(.., at)| !witness::is_near(*at)).map(|(name, ..)| name).collect();
    if all && !idle.is_empty() {
        println!(
            "\nlaws that no state came near to breaking, so that they hold for nothing: {}",
            idle.join(", ")
        );
        return ExitCode::FAILURE;
    }
    println!(
        "\nall laws hold, {} of {} put to the test, {:.0} s",
        laws().count() - idle.len(),
        laws().count(),
        begun.elapsed().as_secs_f64()
    );
    ExitCode::SUCCESS
}

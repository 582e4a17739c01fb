//! The command line.

use crate::bootstrap::Bootstrap;
use crate::event_loop::RouterLoop;
use lexopt::prelude::*;
use std::ffi::{OsStr, OsString};
use std::process::ExitCode;

const USAGE: &str = "\
usage: emberflow serve [--config FILE] [--operator FILE]
                                         serve until SIGTERM; without FILE, by $EDGE_CONFIG
       emberflow check FILE [--operator FILE]
                                         read a configuration and tell what it says
       emberflow version
       emberflow help";

enum Command {
    Serve(Option<OsString>, Option<OsString>),
    Check(OsString, Option<OsString>),
    Version,
    Help,
}

pub fn run() -> ExitCode {
    let done = match parse(lexopt::Parser::from_env()) {
        Ok(Command::Serve(config, operator)) => serve(config, operator),
        Ok(Command::Check(path, operator)) => check(&path, operator.as_deref()),
        Ok(Command::Version) => {
            println!("emberflow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Help) => {
            println!("{USAGE}");
            Ok(())
        }
        Err(error) => {
            eprintln!("emberflow: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emberflow: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut words = Vec::new();
    let (mut config, mut operator) = (None, None);
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("config") if words == ["serve"] && config.is_none() => config = Some(arguments.value()?),
            Long("operator") if operator.is_none() => operator = Some(arguments.value()?),
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(word) => words.push(word),
            other => return Err(other.unexpected()),
        }
    }
    if operator.is_some() && !words.first().is_some_and(|word| word == "serve" || word == "check") {
        return Err("`--operator` belongs to `serve` and `check`".into());
    }
    match words.as_slice() {
        [word] if word == "serve" => Ok(Command::Serve(config, operator)),
        [word, path] if word == "check" => Ok(Command::Check(path.clone(), operator)),
        [word] if word == "check" => Err("`check` needs a file".into()),
        [word] if word == "version" => Ok(Command::Version),
        [word] if word == "help" => Ok(Command::Help),
        [] => Err("a command is missing".into()),
        _ => Err(format!("no such command: {}", words.join(OsStr::new(" ")).to_string_lossy()).into()),
    }
}

fn serve(config: Option<OsString>, operator: Option<OsString>) -> Result<(), String> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let path = config.or_else(|| std::env::var_os("EDGE_CONFIG")).ok_or("EDGE_CONFIG is not set")?;
    let listen = std::env::var("EDGE_LISTEN").ok();
    RouterLoop::run(move || bootstrap(&path, operator.as_deref(), listen.as_deref()))
}

fn check(path: &OsStr, operator: Option<&OsStr>) -> Result<(), String> {
    let Bootstrap { config, fleet, classes, events, last, unread, orders, .. } =
        bootstrap(path, operator, None)?;
    let engines = events.iter().flat_map(|(_, rows)| rows).map(|row| row.id);
    let engines = engines.collect::<std::collections::BTreeSet<_>>().len();
    println!("{} listens on {}, bulletin at {}", config.name, config.listen, config.discovery);
    println!("limits: {} MB, {} descriptors", config.memory >> 20, config.descriptors);
    println!(
        "one of {} routers; {engines} engines of {} kinds by event {last}",
        fleet.router_count,
        fleet.kinds.len()
    );
    println!("{} request classes: {}", classes.len(), config.classes.join(", "));
    unread.iter().for_each(|unread| println!("{unread}, so it goes unread"));
    if let Some(roll) = orders.teams {
        let part =
            |(at, name): (usize, &String)| format!("{name} {:.1} %", roll.quotas.overall_share(at) * 100.0);
        let parts: Vec<String> = roll.names.iter().enumerate().map(part).collect();
        println!("{} teams: {}", roll.names.len(), parts.join(", "));
    }
    Ok(())
}

/// Both files, or the first fault of either.
fn bootstrap(path: &OsStr, operator: Option<&OsStr>, listen: Option<&str>) -> Result<Bootstrap, String> {
    let read = |path: &OsStr| {
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        Ok::<_, String>((shown, text))
    };
    let (shown, text) = read(path)?;
    let file = serde_json::from_str(&text).map_err(|e| format!("{shown}: {e}"))?;
    let mut bootstrap = Bootstrap::read(&file, listen).map_err(|e| format!("{shown}: {e}"))?;
    if let Some((shown, text)) = operator.map(read).transpose()? {
        bootstrap.order(&text).map_err(|e| format!("{shown}: {e}"))?;
    }
    Ok(bootstrap)
}

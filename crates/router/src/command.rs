//! The command line: `emberflow serve`, `check`, `version` and `help`.

use crate::bootstrap::Bootstrap;
use crate::config::BYTES_PER_MB;
use crate::error::{ConfigError, ServeError};
use crate::event_loop::RouterLoop;
use emberflow_operator::TeamConfig;
use lexopt::prelude::*;
use std::collections::BTreeSet;
use std::ffi::{OsStr, OsString};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const USAGE: &str = "\
usage: emberflow serve [--config FILE] [--operator FILE]
                                         serve until SIGTERM; without FILE, the configuration is $EDGE_CONFIG
       emberflow check FILE [--operator FILE]
                                         read a configuration and print a summary
       emberflow version
       emberflow help";

/// Exit status for an invalid command line.
const USAGE_ERROR: u8 = 2;

/// Factor from a fraction to percent.
const PERCENT: f64 = 100.0;

/// A command with its options.
enum Command {
    /// Serve until a graceful shutdown is complete. `config` is `None` if the environment names the configuration file.
    Serve {
        config: Option<PathBuf>,
        operator: Option<PathBuf>,
    },
    /// Read a configuration and print a summary.
    Check {
        config: PathBuf,
        operator: Option<PathBuf>,
    },
    Version,
    Help,
}

/// Runs the program with the arguments of the process. Returns the exit status: 0, 1 after an error, or 2 for an
/// invalid command line.
pub fn run() -> ExitCode {
    let command = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("emberflow: {error}\n{USAGE}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    match execute(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emberflow: {error}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: Command) -> Result<(), ServeError> {
    match command {
        Command::Serve { config, operator } => serve(config, operator)?,
        Command::Check { config, operator } => check(&config, operator.as_deref())?,
        Command::Version => println!("emberflow {}", env!("CARGO_PKG_VERSION")),
        Command::Help => println!("{USAGE}"),
    }
    Ok(())
}

/// Parses the options; the positional arguments must name the command.
fn parse(mut arguments: lexopt::Parser) -> Result<Command, lexopt::Error> {
    let mut positionals = Vec::new();
    let mut config = None;
    let mut operator = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("config") if positionals == ["serve"] && config.is_none() => {
                config = Some(arguments.value()?.into());
            }
            Long("operator") if operator.is_none() => operator = Some(arguments.value()?.into()),
            Short('h') | Long("help") => return Ok(Command::Help),
            Short('V') | Long("version") => return Ok(Command::Version),
            Value(word) => positionals.push(word),
            other => return Err(other.unexpected()),
        }
    }
    command_of(&positionals, config, operator)
}

/// Returns the command that the positional arguments name, with its options.
fn command_of(
    positionals: &[OsString],
    config: Option<PathBuf>,
    operator: Option<PathBuf>,
) -> Result<Command, lexopt::Error> {
    let takes_operator = positionals.first().is_some_and(|word| word == "serve" || word == "check");
    if operator.is_some() && !takes_operator {
        return Err("`--operator` is only an option of `serve` and `check`".into());
    }
    match positionals {
        [word] if word == "serve" => Ok(Command::Serve { config, operator }),
        [word, path] if word == "check" => Ok(Command::Check { config: path.into(), operator }),
        [word] if word == "check" => {
            Err("`check` must be followed by the path of a configuration file".into())
        }
        [word] if word == "version" => Ok(Command::Version),
        [word] if word == "help" => Ok(Command::Help),
        [] => Err("the command is missing: `serve`, `check`, `version` or `help`".into()),
        _ => Err(format!("unknown command: {}", positionals.join(OsStr::new(" ")).to_string_lossy()).into()),
    }
}

fn serve(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), ServeError> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let from_environment = || std::env::var_os("EDGE_CONFIG").map(PathBuf::from);
    let path = config.or_else(from_environment).ok_or(ConfigError::NoConfigFile)?;
    let listen = std::env::var("EDGE_LISTEN").ok();
    RouterLoop::run(move || read_files(&path, operator.as_deref(), listen.as_deref()))
}

/// Reads a configuration and prints its summary.
fn check(path: &Path, operator: Option<&Path>) -> Result<(), ConfigError> {
    let Bootstrap {
        config, fleet, classes, events, last_event, ignored_report_figures, operator_config, ..
    } = read_files(path, operator, None)?;
    let endpoints = events.iter().flat_map(|event| &event.endpoints);
    let engine_count = endpoints.map(|endpoint| endpoint.id).collect::<BTreeSet<_>>().len();
    println!("{}: listen {}, discovery {}", config.name, config.listen_address, config.discovery_address);
    println!("limits: {} MB, {} descriptors", config.memory_bytes / BYTES_PER_MB, config.max_descriptors);
    println!("fleet: {} routers, {engine_count} engines at event {last_event}", fleet.router_count);
    println!("{} engine kinds: {}", config.kinds.len(), config.kinds.join(", "));
    println!("{} request classes: {}", classes.len(), config.classes.join(", "));
    for error in &ignored_report_figures {
        println!("{error} (ignored)");
    }
    if let Some(teams) = &operator_config.teams {
        println!("{} teams: {}", teams.names.len(), team_shares(teams));
    }
    Ok(())
}

/// Lists each team's name with its share of the engines in percent.
fn team_shares(teams: &TeamConfig) -> String {
    let mut shares = Vec::new();
    for (team, name) in teams.names.iter().enumerate() {
        shares.push(format!("{name} {:.1} %", teams.quotas.overall_share(team) * PERCENT));
    }
    shares.join(", ")
}

/// Reads the configuration, and the operator's file if one is given. Returns the first error in either file.
fn read_files(path: &Path, operator: Option<&Path>, listen: Option<&str>) -> Result<Bootstrap, ConfigError> {
    let text = read_text(path)?;
    let file =
        serde_json::from_str(&text).map_err(|source| ConfigError::Json { path: path.into(), source })?;
    let mut bootstrap = Bootstrap::read(&file, listen).map_err(|error| error_in_file(path, error))?;
    if let Some(operator) = operator {
        let operator_text = read_text(operator)?;
        bootstrap.read_operator_file(&operator_text).map_err(|error| error_in_file(operator, error))?;
    }
    Ok(bootstrap)
}

fn error_in_file(path: &Path, source: ConfigError) -> ConfigError {
    ConfigError::InvalidFile { path: path.into(), source: Box::new(source) }
}

fn read_text(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|source| ConfigError::Read { path: path.into(), source })
}

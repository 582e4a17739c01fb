//! The command line.

use crate::front::Front;
use lexopt::prelude::*;
use std::ffi::OsString;
use std::process::ExitCode;

const USAGE: &str = "usage: emberflow serve | version";

pub fn run() -> ExitCode {
    let (command, rest) = match parse(lexopt::Parser::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("emberflow: {error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let done = match (command.as_str(), rest) {
        ("serve", None) => serve(),
        ("version", None) => {
            println!("emberflow {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => {
            eprintln!("{USAGE}");
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

fn parse(mut arguments: lexopt::Parser) -> Result<(String, Option<OsString>), lexopt::Error> {
    let (mut command, mut rest) = (String::new(), None);
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(text) if command.is_empty() => command = text.string()?,
            Value(text) if rest.is_none() => rest = Some(text),
            other => return Err(other.unexpected()),
        }
    }
    Ok((command, rest))
}

fn serve() -> Result<(), String> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let path = std::env::var_os("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
    let listen = std::env::var("EDGE_LISTEN").ok();
    Front::run(&configuration(&path)?, listen.as_deref())
}

fn configuration(path: &std::ffi::OsStr) -> Result<serde_json::Value, String> {
    let shown = path.to_string_lossy();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{shown}: {e}"))
}

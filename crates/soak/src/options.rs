//! The command line of the soak.

use crate::faults::FaultKind;
use clap::{Args, Parser, Subcommand};
use std::ops::{Range, RangeInclusive};
use std::path::PathBuf;
use std::str::FromStr;

const VALID_SECONDS: RangeInclusive<f64> = 2.0..=3600.0;
const VALID_REQUESTS_PER_SECOND: RangeInclusive<f64> = 0.1..=500.0;
const VALID_SLOWDOWNS: RangeInclusive<f64> = 1.0..=200.0;
/// The last byte of a router's address counts up from 1 and must stay below that of the discovery service.
const VALID_ROUTER_COUNTS: RangeInclusive<i64> = 1..=60;
const VALID_ENGINE_COUNTS: RangeInclusive<i64> = 3..=3200;

/// Runs real routers between emulated peers on loopback under overlapping faults, and checks the service's invariants
/// against the records of clients and engines.
#[derive(Parser)]
#[command(name = "emberflow-soak", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

/// The seeds to run.
#[derive(Subcommand)]
pub enum Command {
    /// Runs one seed.
    Run {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the seeds of a range `A..B`, without B, and prints a line for each.
    Seeds {
        range: SeedRange,
        #[command(flatten)]
        options: RunOptions,
    },
}

/// The options of a run.
#[derive(Args, Clone, Debug)]
pub struct RunOptions {
    /// Seconds for which clients send requests.
    #[arg(long, default_value_t = 15.0, value_parser = parse_seconds)]
    pub seconds: f64,
    /// Number of routers to start.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(VALID_ROUTER_COUNTS))]
    pub routers: u8,
    /// Number of emulated engines.
    #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u16).range(VALID_ENGINE_COUNTS))]
    pub engines: u16,
    /// Mean number of requests per second to each router.
    #[arg(long, default_value_t = 15.0, value_parser = parse_rate)]
    pub rate: f64,
    /// Number of routers that the settings state [default: the number of routers].
    #[arg(long)]
    pub fleet: Option<usize>,
    /// Factor by which the routers' computations are slowed down, as on a fraction of a core [default: drawn].
    #[arg(long, value_parser = parse_slowdown)]
    pub slowdown: Option<f64>,
    /// Kinds of faults to draw from, separated by commas; `none` for no faults [default: all].
    #[arg(long, value_delimiter = ',')]
    pub faults: Option<Vec<FaultName>>,
    /// Does not inject clock steps and failing system calls into the routers.
    #[arg(long)]
    pub no_shim: bool,
    /// Path of the router's program [default: in the directory of this program].
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Directory for the routers' configurations and logs [default: a temporary directory].
    #[arg(long)]
    pub directory: Option<PathBuf>,
    /// Prints one line of JSON for each seed.
    #[arg(long)]
    pub json: bool,
}

/// Why the value of an option is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OptionError {
    #[error("{text:?} is not a number")]
    NotANumber { text: String },
    #[error("expected a number from {min} to {max}")]
    OutOfRange { min: f64, max: f64 },
    #[error("expected two numbers with `..` between them")]
    NotARange,
    #[error("the range contains no seed")]
    EmptyRange,
    #[error("unknown kind of fault: {name}")]
    UnknownFault { name: String },
}

/// A kind of fault on the command line; `None` for the word `none`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultName(pub Option<FaultKind>);

impl FromStr for FaultName {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "none" {
            return Ok(Self(None));
        }
        let unknown = |_| OptionError::UnknownFault { name: text.to_owned() };
        let kind = <FaultKind as clap::ValueEnum>::from_str(text, false).map_err(unknown)?;
        Ok(Self(Some(kind)))
    }
}

impl RunOptions {
    /// Returns the kinds of faults to draw from.
    pub fn fault_kinds(&self) -> Vec<FaultKind> {
        match &self.faults {
            Some(names) => names.iter().filter_map(|name| name.0).collect(),
            None => <FaultKind as clap::ValueEnum>::value_variants().to_vec(),
        }
    }
}

/// The seeds from `start` up to, but not including, `end`.
#[derive(Clone, Debug)]
pub struct SeedRange(pub Range<u64>);

impl FromStr for SeedRange {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (start, end) = text.split_once("..").ok_or(OptionError::NotARange)?;
        let range = parse_number(start)?..parse_number(end)?;
        if range.is_empty() { Err(OptionError::EmptyRange) } else { Ok(Self(range)) }
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, OptionError> {
    text.parse().map_err(|_| OptionError::NotANumber { text: text.to_owned() })
}

fn parse_number_within(text: &str, range: &RangeInclusive<f64>) -> Result<f64, OptionError> {
    let value = parse_number(text)?;
    if range.contains(&value) {
        return Ok(value);
    }
    Err(OptionError::OutOfRange { min: *range.start(), max: *range.end() })
}

fn parse_seconds(text: &str) -> Result<f64, OptionError> {
    parse_number_within(text, &VALID_SECONDS)
}

fn parse_rate(text: &str) -> Result<f64, OptionError> {
    parse_number_within(text, &VALID_REQUESTS_PER_SECOND)
}

fn parse_slowdown(text: &str) -> Result<f64, OptionError> {
    parse_number_within(text, &VALID_SLOWDOWNS)
}

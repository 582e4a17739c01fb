//! The command line.

use crate::faults::FaultKind;
use clap::{Args, Parser, Subcommand};
use std::ops::Range;
use std::path::PathBuf;
use std::str::FromStr;

/// Runs real routers between emulated peers on loopback under overlapping faults, and judges them from outside.
#[derive(Parser)]
#[command(name = "emberflow-soak", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

/// What to play.
#[derive(Subcommand)]
pub enum Command {
    /// Plays one seed.
    Run {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Plays a range of seeds, `A..B` without B, a line for each.
    Seeds {
        range: SeedRange,
        #[command(flatten)]
        options: RunOptions,
    },
}

/// What a run consists of.
#[derive(Args, Clone, Debug)]
pub struct RunOptions {
    /// Seconds in which requests are sent.
    #[arg(long, default_value_t = 15.0, value_parser = seconds)]
    pub seconds: f64,
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u8).range(1..=60))]
    pub routers: u8,
    #[arg(long, default_value_t = 80, value_parser = clap::value_parser!(u16).range(3..=3200))]
    pub engines: u16,
    /// Requests a second for each router.
    #[arg(long, default_value_t = 15.0, value_parser = rate)]
    pub rate: f64,
    /// Routers that the settings tell of; as many as are run if not given.
    #[arg(long)]
    pub fleet: Option<usize>,
    /// How many times as long each span of the routers' processor time takes: a part of a core.
    #[arg(long, value_parser = slowdown)]
    pub slowdown: Option<f64>,
    /// Kinds of faults to draw from; all if not given, `none` for none.
    #[arg(long, value_delimiter = ',')]
    pub faults: Option<Vec<FaultName>>,
    /// Leaves the routers' own processes alone: no stepped clocks, no failing system calls.
    #[arg(long)]
    pub no_shim: bool,
    /// The router's program; the one beside this program if not given.
    #[arg(long)]
    pub router: Option<PathBuf>,
    /// Where logs and configurations are kept; a directory of the system's temporary one if not given.
    #[arg(long)]
    pub directory: Option<PathBuf>,
    /// Prints a line of JSON for each seed.
    #[arg(long)]
    pub json: bool,
}

/// Why an option's value is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OptionError {
    #[error("{text:?} is no number")]
    NotANumber { text: String },
    #[error("{least} to {most} is expected")]
    OutOfRange { least: f64, most: f64 },
    #[error("two numbers with `..` between them are expected")]
    NoRange,
    #[error("the range holds no seed")]
    EmptyRange,
    #[error("no such kind of fault: {name}")]
    UnknownFault { name: String },
}

/// A kind of fault, or none.
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
    /// The kinds of faults to draw from.
    pub fn fault_kinds(&self) -> Vec<FaultKind> {
        match &self.faults {
            Some(names) => names.iter().filter_map(|name| name.0).collect(),
            None => <FaultKind as clap::ValueEnum>::value_variants().to_vec(),
        }
    }
}

/// Seeds from `start` to `end`, without that.
#[derive(Clone, Debug)]
pub struct SeedRange(pub Range<u64>);

impl FromStr for SeedRange {
    type Err = OptionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (start, end) = text.split_once("..").ok_or(OptionError::NoRange)?;
        let range = number(start)?..number(end)?;
        if range.is_empty() { Err(OptionError::EmptyRange) } else { Ok(Self(range)) }
    }
}

fn number<T: FromStr>(text: &str) -> Result<T, OptionError> {
    text.parse().map_err(|_| OptionError::NotANumber { text: text.to_owned() })
}

fn between(text: &str, least: f64, most: f64) -> Result<f64, OptionError> {
    let value = number(text)?;
    if (least..=most).contains(&value) { Ok(value) } else { Err(OptionError::OutOfRange { least, most }) }
}

fn seconds(text: &str) -> Result<f64, OptionError> {
    between(text, 2.0, 3600.0)
}

fn rate(text: &str) -> Result<f64, OptionError> {
    between(text, 0.1, 500.0)
}

fn slowdown(text: &str) -> Result<f64, OptionError> {
    between(text, 1.0, 200.0)
}

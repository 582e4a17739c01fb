//! Runs one scheduler for each router instance of a simulator. The adapter reads the simulator's messages from standard
//! input, one JSON object on each line, and writes the schedulers' actions to standard output in the same form.

mod action_writer;
mod error;
mod event;
mod host;
mod instance;
mod names;

use error::{AdapterError, InputError};
use host::Host;
use std::io::BufRead;
use std::process::ExitCode;

fn main() -> ExitCode {
    host::install_panic_hook();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("emberflow-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Handles all lines of standard input; stops at the first error.
fn run() -> Result<(), InputError> {
    let mut host = Host::default();
    let mut output = std::io::stdout().lock();
    for (index, line) in std::io::stdin().lock().lines().enumerate() {
        let at_line = |error| InputError { line: Some(index + 1), error };
        let text = line.map_err(AdapterError::Input).map_err(at_line)?;
        if !text.trim().is_empty() {
            host.handle_line(&text, &mut output).map_err(at_line)?;
        }
    }
    host.finish().map_err(|error| InputError { line: None, error })
}

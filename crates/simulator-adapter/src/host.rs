//! Reads batches of messages, passes them to the instances, and replies at the end of each batch.

use crate::error::AdapterError;
use crate::instance::{Instance, Tables};
use emberflow_settings::{Fields, unknown_load_report_names};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::time::Duration;

/// The message of the last panic, which a `FAULT` message reports to the simulator.
static LAST_PANIC: Mutex<String> = Mutex::new(String::new());

/// Installs a panic hook that stores the message in [`LAST_PANIC`] and prints it.
pub fn install_panic_hook() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        if let Ok(mut message) = LAST_PANIC.lock() {
            *message = panic.to_string();
        }
    }));
}

/// The batch of messages that is being read.
#[derive(Clone, Copy)]
struct Batch {
    /// The time of all messages in the batch, on the simulator's clock.
    now: Duration,
    /// The number of the batch, which the reply repeats.
    number: u64,
}

/// All instances, with the current batch and its reply.
#[derive(Default)]
pub struct Host {
    /// Instances by the simulator's numbers.
    instances: BTreeMap<u64, Instance>,
    /// All tables that were sent, for all instances.
    tables: Tables,
    /// `None` between two batches.
    batch: Option<Batch>,
    /// The actions of the current batch, as lines.
    reply: Vec<u8>,
    /// The first instance that panicked in the current batch.
    panicked: Option<u64>,
    /// The warnings that were printed, so that each is printed only once.
    printed_warnings: BTreeSet<String>,
}

impl Host {
    /// Handles a line of input. At the end of a batch, writes the reply to `output`.
    ///
    /// # Errors
    /// Fails if the line is invalid or the reply cannot be written.
    pub fn handle_line(&mut self, text: &str, output: &mut impl Write) -> Result<(), AdapterError> {
        let value = serde_json::from_str(text)?;
        let message = Fields::of(&value);
        match (message.text("op")?, self.batch) {
            ("BEGIN_BATCH", None) => {
                let now = message.time("atTimeMs")?;
                self.batch = Some(Batch { now, number: message.unsigned("frame")? });
                Ok(())
            }
            ("BEGIN_BATCH", Some(_)) => Err(AdapterError::NestedBatch),
            (operation, None) => Err(AdapterError::OutsideBatch { operation: operation.to_owned() }),
            ("END", Some(batch)) => self.end_batch(batch.number, output),
            ("TABLE", Some(_)) => {
                self.tables.insert(message.unsigned("ref")?, message.list("items")?.to_vec());
                Ok(())
            }
            (operation, Some(batch)) => self.handle_event(operation, message, batch.now),
        }
    }

    /// Checks that the input did not end inside a batch.
    pub fn finish(&self) -> Result<(), AdapterError> {
        if self.batch.is_some() { Err(AdapterError::UnfinishedBatch) } else { Ok(()) }
    }

    /// Passes a message to its instance. After a panic in the batch, skips the message, since the reply will only
    /// contain the fault.
    fn handle_event(
        &mut self,
        operation: &str,
        message: Fields<'_>,
        now: Duration,
    ) -> Result<(), AdapterError> {
        let number = message.unsigned("who")?;
        if self.panicked.is_some() {
            return Ok(());
        }
        if operation == "NEW_INSTANCE" {
            self.warn_about_unknown_figures(message)?;
        }
        match catch_unwind(AssertUnwindSafe(|| self.handle_instance_message(operation, number, message, now)))
        {
            Ok(result) => result,
            Err(_) => {
                self.panicked = Some(number);
                Ok(())
            }
        }
    }

    /// Starts or kills the instance with this number, or passes the message to it.
    fn handle_instance_message(
        &mut self,
        operation: &str,
        number: u64,
        message: Fields<'_>,
        now: Duration,
    ) -> Result<(), AdapterError> {
        let unknown = || AdapterError::UnknownInstance(number);
        match operation {
            "NEW_INSTANCE" => {
                self.instances.insert(number, Instance::new(number, message)?);
                Ok(())
            }
            "KILLED" => self.instances.remove(&number).map(drop).ok_or_else(unknown),
            _ => {
                let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
                instance.handle(operation, message, now, &self.tables, &mut self.reply)
            }
        }
    }

    /// Prints a warning for each unknown figure of the load report, once for all instances.
    fn warn_about_unknown_figures(&mut self, message: Fields<'_>) -> Result<(), AdapterError> {
        for unknown in unknown_load_report_names(message.object("params")?)? {
            let warning = unknown.to_string();
            if self.printed_warnings.insert(warning.clone()) {
                eprintln!("emberflow-simulator-adapter: {warning} (ignored)");
            }
        }
        Ok(())
    }

    /// Writes the reply: all actions of the batch, or a fault message if an instance panicked.
    fn end_batch(&mut self, batch_number: u64, output: &mut impl Write) -> Result<(), AdapterError> {
        if let Some(instance) = self.panicked.take() {
            let message = LAST_PANIC.lock().map(|message| message.clone()).unwrap_or_default();
            let fault = json!({"op": "FAULT", "who": instance, "noteText": message});
            self.reply = format!("{fault}\n").into();
        }
        let ready = json!({"op": "READY", "frame": batch_number});
        writeln!(self.reply, "{ready}").expect("writing to memory does not fail");
        output.write_all(&self.reply).and_then(|()| output.flush()).map_err(AdapterError::Output)?;
        self.reply.clear();
        self.batch = None;
        Ok(())
    }
}

//! Hosts many instances of emberflow's router on the simulator's wire; it decides nothing.

mod instance;

use emberflow_settings::{Fields, unknown_reports};
use instance::Instance;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::Duration;

static LAST_PANIC: Mutex<String> = Mutex::new(String::new());

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    tables: HashMap<u64, Vec<serde_json::Value>>,
    batch: Option<(Duration, u64)>,
    reply: Vec<u8>,
    fault: Option<u64>,
    /// What was told once and for all on standard error.
    told: BTreeSet<String>,
}

impl Host {
    fn line(&mut self, text: &str, output: &mut impl Write) -> Result<(), String> {
        let value = serde_json::from_str(text).map_err(|e| format!("malformed JSON: {e}"))?;
        let line = Fields::of(&value);
        match (line.text("op")?, self.batch) {
            ("BEGIN_BATCH", None) => {
                self.batch = Some((line.time("atTimeMs")?, line.whole("frame")?));
                Ok(())
            }
            ("BEGIN_BATCH", Some(_)) => Err("a batch begins inside another".into()),
            (op, None) => Err(format!("`{op}` outside a batch")),
            ("END", Some((_, frame))) => self.finish(frame, output),
            ("TABLE", Some(_)) => {
                self.tables.insert(line.whole("ref")?, line.list("items")?.to_vec());
                Ok(())
            }
            (op, Some((now, _))) => self.event(op, line, now),
        }
    }

    fn event(&mut self, op: &str, line: Fields, now: Duration) -> Result<(), String> {
        let who = line.whole("who")?;
        if self.fault.is_some() {
            return Ok(());
        }
        if op == "NEW_INSTANCE" {
            for unread in unknown_reports(line.part("params")?)? {
                let unread = unread.to_string();
                if self.told.insert(unread.clone()) {
                    eprintln!("emberflow-simulator-adapter: {unread}, so it goes unread");
                }
            }
        }
        let (instances, tables, reply) = (&mut self.instances, &self.tables, &mut self.reply);
        let done = catch_unwind(AssertUnwindSafe(|| match op {
            "NEW_INSTANCE" => {
                instances.insert(who, Instance::new(who, line)?);
                Ok(())
            }
            "KILLED" => instances.remove(&who).map(drop).ok_or_else(|| unknown(who)),
            _ => instances.get_mut(&who).ok_or_else(|| unknown(who))?.event(op, line, now, tables, reply),
        }));
        done.unwrap_or_else(|_| {
            self.fault = Some(who);
            Ok(())
        })
    }

    fn finish(&mut self, frame: u64, output: &mut impl Write) -> Result<(), String> {
        if let Some(who) = self.fault.take() {
            let text = LAST_PANIC.lock().map(|t| t.clone()).unwrap_or_default();
            self.reply =
                format!("{}\n", serde_json::json!({"op": "FAULT", "who": who, "noteText": text})).into();
        }
        let ready = serde_json::json!({"op": "READY", "frame": frame});
        writeln!(self.reply, "{ready}").map_err(|e| e.to_string())?;
        output.write_all(&self.reply).and_then(|()| output.flush()).map_err(|e| format!("output: {e}"))?;
        self.reply.clear();
        self.batch = None;
        Ok(())
    }
}

fn unknown(who: u64) -> String {
    format!("event for the unknown instance {who}")
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        if let Ok(mut text) = LAST_PANIC.lock() {
            *text = panic.to_string();
        }
    }));
    let mut host = Host::default();
    let mut output = std::io::stdout().lock();
    for (number, line) in std::io::stdin().lock().lines().enumerate() {
        let done = match line {
            Ok(text) if text.trim().is_empty() => Ok(()),
            Ok(text) => host.line(&text, &mut output),
            Err(error) => Err(format!("input: {error}")),
        };
        if let Err(fault) = done {
            eprintln!("emberflow-simulator-adapter: line {}: {fault}", number + 1);
            return ExitCode::FAILURE;
        }
    }
    if host.batch.is_some() {
        eprintln!("emberflow-simulator-adapter: input ended inside a batch");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

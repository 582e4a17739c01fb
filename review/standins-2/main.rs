//! Stand-ins of the cases 6 to 10. `stand2 CASE` plays one case; the exit status is 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod peers;
mod wire;

use peers::{Place, Record};
use std::path::PathBuf;
use std::process::ExitCode;

/// Time after which a run is given up.
const LONGEST_RUN_MS: u64 = 100_000;

/// How a case has ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let place = Place {
        root: PathBuf::from(variable("CASE_ROOT")),
        temporary: PathBuf::from(variable("CASE_TEMPORARY")),
        run: variable("CASE_RUN"),
        trouble: variable("TROUBLE") != "0",
    };
    let record = match Record::create(&PathBuf::from(variable("CASE_RECORD"))) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            return ExitCode::from(2);
        }
    };
    let watched = record.clone();
    std::thread::spawn(move || {
        peers::sleep_ms(LONGEST_RUN_MS);
        watched.log("verdict: not run: the case took too long");
        std::process::exit(2);
    });
    let verdict = cases::play(&name, &place, &record).unwrap_or_else(Verdict::NotRun);
    let (word, text, status) = match verdict {
        Verdict::Broken(text) => ("broken", text, 1),
        Verdict::Held(text) => ("held", text, 0),
        Verdict::NotRun(text) => ("not run", text, 2),
    };
    record.log(format!("verdict: {word}: {text}"));
    println!("{word}: {text}");
    // The threads of the stand-ins end with the process.
    ExitCode::from(status)
}

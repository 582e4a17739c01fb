//! Makes each mutant in a copy of the repository, builds the model checker there and runs it.

use super::{DISCOVERY, ENGINE_POOL, MUTANTS, Mutant, RESP};
use crate::command::VIOLATION_PREFIX;
use crate::former_names::current_mutant_name;
use crate::{connection_model, discovery_model, queue_model, router_model};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Output};
use std::time::{Duration, Instant};

/// The files and folders that a build of the model checker needs, relative to the root of the repository.
const COPIED_PATHS: [&str; 6] = ["src", "benches", "crates", "tests", "Cargo.toml", "Cargo.lock"];
/// The folder of the copy, relative to the root of the repository.
const COPY_DIR: &str = "target/mutants/tree";
/// The target folder of the builds of the copy, relative to the root of the repository.
const TARGET_DIR: &str = "target/mutants/built";
/// The program that these builds produce, relative to the root of the repository.
const PROGRAM_PATH: &str = "target/mutants/built/release/emberflow-model-checker";
/// The exit status of a process that has panicked.
const EXIT_PANIC: i32 = 101;
/// The exit status for an unknown mutant.
const EXIT_USAGE: u8 = 2;

/// A mutant's edit does not apply, because the text to replace does not occur exactly once.
#[derive(Debug, thiserror::Error)]
#[error("{file} contains the text to replace {count} times instead of once: {from}")]
pub struct EditError {
    count: usize,
    file: &'static str,
    from: &'static str,
}

/// The reason why a mutant could not be made, built or explored.
#[derive(Debug, thiserror::Error)]
enum MutantError {
    #[error("cannot copy {part} into the tree of the mutants: {source}")]
    Copy { part: &'static str, source: std::io::Error },
    #[error("cannot edit the copy of {file}: {source}")]
    EditFile { file: &'static str, source: std::io::Error },
    #[error(transparent)]
    Edit(#[from] EditError),
    #[error("cannot run {program}: {source}")]
    Run { program: &'static str, source: std::io::Error },
    #[error("the model checker with the mutant does not build: {0}")]
    Build(String),
}

/// The result of one mutant.
struct Outcome {
    /// The name of the violated invariant, or "a panic"; `None` if the mutant was not caught.
    caught_by: Option<String>,
    /// The name of the scenario in which the invariant was violated; empty if there is none.
    scenario: String,
    build_time: Duration,
    check_time: Duration,
}

/// Makes and explores the mutants with these names or former names; without names, all mutants. Fails unless each is
/// caught.
pub fn run(names: &[String]) -> ExitCode {
    let is_unknown = |name: &&String| MUTANTS.iter().all(|mutant| mutant.name != current_mutant_name(name));
    if let Some(name) = names.iter().find(is_unknown) {
        eprintln!("emberflow-model-checker: no mutant `{name}`; the mutants are:");
        MUTANTS.iter().for_each(|mutant| eprintln!("  {}", mutant.name));
        return ExitCode::from(EXIT_USAGE);
    }
    let is_selected = |mutant: &&Mutant| {
        names.is_empty() || names.iter().any(|name| current_mutant_name(name) == mutant.name)
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let (mut caught, mut all) = (0, 0);
    println!("{:40} {:24} {:>8} {:>8}  scenario", "mutant", "caught by", "build s", "check s");
    for mutant in MUTANTS.iter().filter(is_selected) {
        all += 1;
        match run_mutant(&root, mutant) {
            Ok(outcome) => {
                caught += usize::from(outcome.caught_by.is_some());
                print_outcome(mutant, &outcome);
            }
            Err(error) => println!("{:40} error: {error}", mutant.name),
        }
    }
    println!("\n{caught} of {all} mutants caught");
    if caught == all { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_outcome(mutant: &Mutant, outcome: &Outcome) {
    let caught_by = outcome.caught_by.as_deref().unwrap_or("NOT CAUGHT");
    let scenario = if outcome.caught_by.is_some() { outcome.scenario.as_str() } else { "" };
    println!(
        "{:40} {caught_by:24} {:>8.1} {:>8.1}  {scenario}",
        mutant.name,
        outcome.build_time.as_secs_f64(),
        outcome.check_time.as_secs_f64()
    );
}

fn run_mutant(root: &Path, mutant: &Mutant) -> Result<Outcome, MutantError> {
    let copy_dir = root.join(COPY_DIR);
    for part in COPIED_PATHS {
        mirror(&root.join(part), &copy_dir.join(part))
            .map_err(|source| MutantError::Copy { part, source })?;
    }
    edit_file(&copy_dir, mutant)?;
    let started_at = Instant::now();
    build(root, &copy_dir)?;
    let (build_time, started_at) = (started_at.elapsed(), Instant::now());
    // Most mutants are caught in the scenarios closest to them, which is faster than all scenarios.
    let mut checked = check(root, &closest_scenarios(mutant))?;
    if checked.status.success() {
        checked = check(root, &[])?;
    }
    let output = String::from_utf8_lossy(&checked.stdout);
    Ok(Outcome {
        caught_by: caught_by(&output, checked.status.code()),
        scenario: output.split('`').nth(1).unwrap_or_default().to_owned(),
        build_time,
        check_time: started_at.elapsed(),
    })
}

fn edit_file(copy_dir: &Path, mutant: &Mutant) -> Result<(), MutantError> {
    let path = copy_dir.join(mutant.file);
    let to_edit_error = |source| MutantError::EditFile { file: mutant.file, source };
    let text = std::fs::read_to_string(&path).map_err(to_edit_error)?;
    std::fs::write(&path, edited(&text, mutant)?).map_err(to_edit_error)
}

fn build(root: &Path, copy_dir: &Path) -> Result<(), MutantError> {
    let built = Command::new("cargo")
        .args(["build", "--release", "--offline", "--quiet", "--package", "emberflow-model-checker"])
        .env("CARGO_TARGET_DIR", root.join(TARGET_DIR))
        .current_dir(copy_dir)
        .output()
        .map_err(|source| MutantError::Run { program: "cargo", source })?;
    if built.status.success() {
        return Ok(());
    }
    Err(MutantError::Build(String::from_utf8_lossy(&built.stderr).into_owned()))
}

fn check(root: &Path, arguments: &[&str]) -> Result<Output, MutantError> {
    Command::new(root.join(PROGRAM_PATH))
        .args(arguments)
        .output()
        .map_err(|source| MutantError::Run { program: PROGRAM_PATH, source })
}

/// Returns the arguments that select the scenarios of the models that run the edited file most directly.
fn closest_scenarios(mutant: &Mutant) -> Vec<&'static str> {
    let connections = connection_model::scenarios::SCENARIOS.iter().map(|scenario| scenario.name);
    let router = router_model::scenarios::SCENARIOS.iter().map(|scenario| scenario.name);
    match mutant.file {
        file if file.starts_with("crates/teams/src/") => {
            queue_model::scenario::SCENARIOS.iter().map(|scenario| scenario.name).collect()
        }
        DISCOVERY => discovery_model::scenario::SCENARIOS.iter().map(|scenario| scenario.name).collect(),
        file if file.starts_with("src/") => vec!["--short"],
        file if file.starts_with(ENGINE_POOL) || file == RESP => connections.chain(router).collect(),
        _ => router.collect(),
    }
}

/// Returns the violated invariant that the output names, or "a panic" if the checker has panicked, because the code
/// detects the mutant itself; `None` otherwise.
fn caught_by(output: &str, exit_code: Option<i32>) -> Option<String> {
    let violation = output.lines().find_map(|line| line.strip_prefix(VIOLATION_PREFIX));
    let invariant = violation.and_then(|violation| violation.split(':').next()).map(str::to_owned);
    invariant.or_else(|| (exit_code == Some(EXIT_PANIC)).then(|| "a panic".to_owned()))
}

/// Returns the text of the mutant's file with the fault.
pub fn edited(text: &str, mutant: &Mutant) -> Result<String, EditError> {
    match text.matches(mutant.from).count() {
        1 => Ok(text.replace(mutant.from, mutant.to)),
        count => Err(EditError { count, file: mutant.file, from: mutant.from }),
    }
}

/// Copies the file or folder `from` to `to`, and removes files there that `from` does not have. Equal files are not
/// written, so that cargo does not rebuild them.
fn mirror(from: &Path, to: &Path) -> std::io::Result<()> {
    if !from.is_dir() {
        return mirror_file(from, to);
    }
    std::fs::create_dir_all(to)?;
    let source_names = file_names(from)?;
    for name in file_names(to)?.into_iter().filter(|name| !source_names.contains(name)) {
        let stale = to.join(name);
        if stale.is_dir() { std::fs::remove_dir_all(stale)? } else { std::fs::remove_file(stale)? }
    }
    source_names.iter().try_for_each(|name| mirror(&from.join(name), &to.join(name)))
}

fn mirror_file(from: &Path, to: &Path) -> std::io::Result<()> {
    let bytes = std::fs::read(from)?;
    if std::fs::read(to).is_ok_and(|existing| existing == bytes) {
        return Ok(());
    }
    std::fs::write(to, bytes)
}

fn file_names(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    std::fs::read_dir(folder)?.map(|entry| Ok(entry?.file_name().into())).collect()
}

//! The run of one seed, from the start of its processes to its report.

use crate::invariants::check;
use crate::options::RunOptions;
use crate::report::Report;
use crate::soak_run::{Programs, SoakRun};
use std::fs;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::time::Duration;

const ROUTER_PROGRAM: &str = "emberflow";
const SHIM_LIBRARY: &str = "libemberflow_fault_shim.so";
/// Number of directories that are searched for the other programs: the directory of this program, and the parent
/// directory for tests, which are built into `deps`.
const SEARCHED_ANCESTORS: usize = 2;

/// Runs one seed and checks the invariants. Fails if a program is not built or an emulated peer cannot be started.
pub fn run_seed(seed: u64, options: &RunOptions) -> io::Result<Report> {
    let programs = find_programs(options)?;
    let directory = match &options.directory {
        Some(directory) => directory.join(format!("seed-{seed}")),
        None => std::env::temp_dir().join(format!("emberflow-soak-{}-{seed}", std::process::id())),
    };
    fs::create_dir_all(&directory)?;
    let mut run = SoakRun::start(options.clone(), seed, programs, &directory)?;
    let mut print_progress = |at: Duration| {
        let _ = write!(io::stderr(), "\rseed {seed}: {} s", at.as_secs());
    };
    let records = run.run(&mut print_progress)?;
    let _ = write!(io::stderr(), "\r");
    let violations = check(&records, &run.limits());
    let report = Report::new(seed, &records, violations, &directory);
    if options.directory.is_none() {
        let _ = fs::remove_dir_all(&directory);
    }
    Ok(report)
}

/// Finds the router's program, unless an option gives its path, and the library that is preloaded into it.
fn find_programs(options: &RunOptions) -> io::Result<Programs> {
    let this_program = std::env::current_exe()?;
    let ancestors = this_program.ancestors().skip(1).take(SEARCHED_ANCESTORS);
    let directories: Vec<PathBuf> =
        ancestors.flat_map(|directory| [directory.to_path_buf(), directory.join("deps")]).collect();
    let router = match &options.router {
        Some(path) => path.clone(),
        None => find_file(&directories, ROUTER_PROGRAM)?,
    };
    Ok(Programs { router, shim: find_file(&directories, SHIM_LIBRARY)? })
}

fn find_file(directories: &[PathBuf], name: &str) -> io::Result<PathBuf> {
    let mut paths = directories.iter().map(|directory| directory.join(name));
    let missing = || io::Error::other(format!("{name} is not built: run `cargo build --workspace`"));
    paths.find(|path: &PathBuf| Path::is_file(path)).ok_or_else(missing)
}

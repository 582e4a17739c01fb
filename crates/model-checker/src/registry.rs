//! All scenarios and invariants, of whatever model, as the command line and the tests see them.

use crate::connection_model::{self, scenario::ConnectionScenario};
use crate::discovery_model::{self, scenario::DiscoveryScenario};
use crate::former_names::current_name;
use crate::invariants::ObservedModel;
use crate::module_model::{self, ModuleModel, counterexample, scenario::Scenario};
use crate::queue_model::{self, scenario::QueueScenario};
use crate::router_model::{self, scenario::RouterScenario};
use crate::search::{Bounds, Extent, Model, Step, explore};
use crate::witness;
use std::fmt::Debug;
use std::time::Duration;

/// Explores one scenario within limits of time and of memory in MiB.
pub type Check = Box<dyn Fn(Duration, u64) -> CheckReport>;

/// Replays a path in one scenario.
pub type Replay = Box<dyn Fn(&str) -> Result<(), ReplayError>>;

/// A scenario of any model.
pub struct Entry {
    /// The name by which the command line and tests know it.
    pub name: &'static str,
    /// What happens in it, in a sentence.
    pub description: &'static str,
    /// Whether it belongs to the short set.
    pub in_short_set: bool,
    /// Explores it within limits of time and of memory in MiB.
    pub check: Check,
    /// Replays a recorded path, with one transition a line, as a counterexample prints it.
    pub replay: Replay,
}

/// Why a recorded path can't be replayed to its end.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// The model does not allow the transition in that state.
    #[error("{transition} is not among the enabled transitions [{enabled}]")]
    NotEnabled {
        /// The line of the recorded path.
        transition: String,
        /// The transitions that are enabled instead.
        enabled: String,
    },
    /// An invariant is violated on the way.
    #[error("{invariant} is violated at {transition}")]
    Violated {
        /// The name of the invariant.
        invariant: &'static str,
        /// The line of the recorded path.
        transition: String,
    },
}

/// What the exploration of a scenario found.
pub struct CheckReport {
    /// The figures of the search.
    pub extent: Extent,
    /// The first violation.
    pub violation: Option<Counterexample>,
}

/// A violated invariant with a path to it.
#[derive(Debug, PartialEq)]
pub struct Counterexample {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// The length of the path.
    pub transitions: usize,
    /// The path as a test.
    pub test: String,
}

/// An invariant of any model.
pub struct InvariantEntry {
    /// The name.
    pub name: &'static str,
    /// The property in one sentence.
    pub description: &'static str,
    /// Its bit in the record of exercised invariants.
    witness_bit: usize,
}

impl InvariantEntry {
    /// Whether some state explored in this process could have violated it, and no other invariant, by one event.
    pub fn is_exercised(&self) -> bool {
        witness::is_exercised(self.witness_bit)
    }
}

/// All scenarios.
pub fn scenarios() -> Vec<Entry> {
    let mut entries: Vec<Entry> = module_model::scenarios::SCENARIOS.iter().map(module_entry).collect();
    entries.extend(connection_model::scenarios::SCENARIOS.iter().map(connection_entry));
    entries.extend(router_model::scenarios::SCENARIOS.iter().map(router_entry));
    entries.extend(discovery_model::scenario::SCENARIOS.iter().map(discovery_entry));
    entries.extend(queue_model::scenario::SCENARIOS.iter().map(queue_entry));
    entries
}

/// Returns the scenario with this name or former name.
pub fn scenario(name: &str) -> Option<Entry> {
    let name = current_name(name);
    scenarios().into_iter().find(|entry| entry.name == name)
}

/// All invariants.
pub fn invariants() -> Vec<InvariantEntry> {
    let mut entries = Vec::new();
    append_invariants::<ModuleModel>(&mut entries);
    append_invariants::<ConnectionScenario>(&mut entries);
    append_invariants::<RouterScenario>(&mut entries);
    append_invariants::<DiscoveryScenario>(&mut entries);
    append_invariants::<QueueScenario>(&mut entries);
    entries
}

fn append_invariants<M: ObservedModel>(entries: &mut Vec<InvariantEntry>) {
    let invariants = M::INVARIANTS.iter().zip(M::FIRST_WITNESS_BIT..);
    entries.extend(invariants.map(|(invariant, witness_bit)| InvariantEntry {
        name: invariant.name,
        description: invariant.description,
        witness_bit,
    }));
}

fn module_entry(scenario: &'static Scenario) -> Entry {
    let check = move |time, memory_mb| {
        let model = ModuleModel::new(scenario);
        let bounds = Bounds { time, memory_mb, max_depth: scenario.max_depth };
        check(&model, bounds, |path| counterexample::test(&model, path))
    };
    Entry {
        name: scenario.name,
        description: scenario.description,
        in_short_set: scenario.in_short_set,
        check: Box::new(check),
        replay: Box::new(move |path| replay(&ModuleModel::new(scenario), path)),
    }
}

fn connection_entry(scenario: &'static ConnectionScenario) -> Entry {
    entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

fn router_entry(scenario: &'static RouterScenario) -> Entry {
    entry(scenario, scenario.name, scenario.description, scenario.in_short_set, scenario.max_depth)
}

fn discovery_entry(scenario: &'static DiscoveryScenario) -> Entry {
    entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

fn queue_entry(scenario: &'static QueueScenario) -> Entry {
    entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

/// The entry of a scenario whose counterexamples are recorded paths.
fn entry<M: Model>(
    model: &'static M,
    name: &'static str,
    description: &'static str,
    in_short_set: bool,
    max_depth: Option<usize>,
) -> Entry
where
    M::Transition: Debug,
{
    let check = move |time, memory_mb| {
        let bounds = Bounds { time, memory_mb, max_depth };
        check(model, bounds, |path| recorded_path_test(name, path))
    };
    Entry {
        name,
        description,
        in_short_set,
        check: Box::new(check),
        replay: Box::new(|path| replay(model, path)),
    }
}

fn check<M: Model>(model: &M, bounds: Bounds, test: impl Fn(&[Step<M>]) -> String) -> CheckReport {
    let report = explore(model, bounds);
    let violation = report.violation.map(|violation| Counterexample {
        invariant: violation.invariant,
        transitions: violation.path.len(),
        test: test(&violation.path),
    });
    CheckReport { extent: report.extent, violation }
}

/// A path as a test, ready to be pasted into `tests/walk.rs`: one transition a line.
fn recorded_path_test<M: Model>(scenario: &str, path: &[Step<M>]) -> String
where
    M::Transition: Debug,
{
    let name: String = scenario.chars().map(|c| if c.is_alphanumeric() { c } else { '_' }).collect();
    let lines: String = path.iter().map(|step| format!("        {:?}\n", step.transition)).collect();
    format!("#[test]\nfn {name}_holds() {{\n    follow({scenario:?}, r#\"\n{lines}    \"#);\n}}\n")
}

/// Takes the transitions that are printed one a line, and checks every state on the way.
fn replay<M: Model>(model: &M, path: &str) -> Result<(), ReplayError>
where
    M::Transition: Debug,
{
    let mut state = model.initial_state();
    for line in path.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let mut enabled = Vec::new();
        model.transitions(&state, &mut enabled);
        let printed: Vec<String> = enabled.iter().map(|transition| format!("{transition:?}")).collect();
        let Some(position) = printed.iter().position(|printed| printed == line) else {
            return Err(ReplayError::NotEnabled { transition: line.to_owned(), enabled: printed.join(", ") });
        };
        state = model.apply(&state, &enabled[position]);
        if let Some(invariant) = model.violated(&state, false) {
            return Err(ReplayError::Violated { invariant, transition: line.to_owned() });
        }
    }
    Ok(())
}

//! The scenarios and invariants of all models, in the form that the command line and the tests use.

use crate::connection_model::{self, scenario::ConnectionScenario};
use crate::discovery_model::{self, scenario::DiscoveryScenario};
use crate::former_names::current_scenario_name;
use crate::invariants::ObservedModel;
use crate::queue_model::{self, scenario::QueueScenario};
use crate::router_model::{self, scenario::RouterScenario};
use crate::scheduler_model::{self, SchedulerModel, counterexample, scenario::SchedulerScenario};
use crate::search::{Model, SearchLimits, SearchStatistics, Step, explore};
use crate::witness;
use std::fmt::Debug;
use std::time::Duration;

/// Explores a scenario. The arguments are the limits of wall-clock time and of resident memory, in MiB.
pub type Check = Box<dyn Fn(Duration, u64) -> CheckReport>;

/// Takes the transitions of a recorded path, one on each line in the form that a counterexample prints, and checks the
/// invariants in every state.
pub type Replay = Box<dyn Fn(&str) -> Result<(), ReplayError>>;

/// A scenario of any model.
pub struct ScenarioEntry {
    /// The name on the command line and in tests.
    pub name: &'static str,
    /// The description that the command `scenarios` prints.
    pub description: &'static str,
    /// Whether the option `--short` selects the scenario.
    pub in_short_set: bool,
    /// Explores the scenario.
    pub check: Check,
    /// Replays a recorded path in the scenario.
    pub replay: Replay,
}

/// The reason why a recorded path cannot be replayed to its end.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ReplayError {
    /// A transition of the path is not enabled in the state that the path has reached.
    #[error("{transition} is not among the enabled transitions [{enabled}]")]
    NotEnabled {
        /// The line of the recorded path.
        transition: String,
        /// The enabled transitions, separated by commas.
        enabled: String,
    },
    /// A transition of the path violates an invariant.
    #[error("invariant `{invariant}` is violated by {transition}")]
    Violated {
        /// The name of the invariant.
        invariant: &'static str,
        /// The line of the recorded path.
        transition: String,
    },
}

/// The result of the exploration of a scenario.
pub struct CheckReport {
    /// The size and cost of the search.
    pub statistics: SearchStatistics,
    /// The first violation; `None` if every invariant holds in the explored states.
    pub violation: Option<Counterexample>,
}

/// A violated invariant with a path to it.
#[derive(Debug, PartialEq)]
pub struct Counterexample {
    /// The name of the invariant.
    pub invariant: &'static str,
    /// Number of transitions of the path.
    pub transitions: usize,
    /// The source of a test that takes the path: for the scheduler model in the form of `tests/traces/`, for the other
    /// models in the form of this crate's `tests/walk.rs`.
    pub test_source: String,
}

/// An invariant of any model.
pub struct InvariantEntry {
    /// The name that a counterexample prints, unique among all models.
    pub name: &'static str,
    /// The property that must hold, as the commands print it.
    pub description: &'static str,
    /// The position of the invariant's bit in the record of exercised invariants.
    witness_bit: usize,
}

impl InvariantEntry {
    /// Whether, in some state explored by this process, one event would violate this invariant and no other.
    pub fn is_exercised(&self) -> bool {
        witness::is_exercised(self.witness_bit)
    }
}

/// Returns the scenarios of all models, in the order in which they are explored.
pub fn scenarios() -> Vec<ScenarioEntry> {
    let mut entries: Vec<ScenarioEntry> =
        scheduler_model::scenarios::SCENARIOS.iter().map(scheduler_entry).collect();
    entries.extend(connection_model::scenarios::SCENARIOS.iter().map(connection_entry));
    entries.extend(router_model::scenarios::SCENARIOS.iter().map(router_entry));
    entries.extend(discovery_model::scenario::SCENARIOS.iter().map(discovery_entry));
    entries.extend(queue_model::scenario::SCENARIOS.iter().map(queue_entry));
    entries
}

/// Returns the scenario with this name or former name; `None` if there is none.
pub fn scenario(name: &str) -> Option<ScenarioEntry> {
    let name = current_scenario_name(name);
    scenarios().into_iter().find(|entry| entry.name == name)
}

/// Returns the invariants of all models.
pub fn invariants() -> Vec<InvariantEntry> {
    let mut entries = Vec::new();
    append_invariants::<SchedulerModel>(&mut entries);
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

fn scheduler_entry(scenario: &'static SchedulerScenario) -> ScenarioEntry {
    let check = move |time, memory_mib| {
        let model = SchedulerModel::new(scenario);
        let limits = SearchLimits { time, memory_mib, max_depth: scenario.max_depth };
        search(&model, limits, |path| counterexample::test_source(&model, path))
    };
    ScenarioEntry {
        name: scenario.name,
        description: scenario.description,
        in_short_set: scenario.in_short_set,
        check: Box::new(check),
        replay: Box::new(move |path| replay(&SchedulerModel::new(scenario), path)),
    }
}

fn connection_entry(scenario: &'static ConnectionScenario) -> ScenarioEntry {
    recorded_path_entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

fn router_entry(scenario: &'static RouterScenario) -> ScenarioEntry {
    recorded_path_entry(
        scenario,
        scenario.name,
        scenario.description,
        scenario.in_short_set,
        scenario.max_depth,
    )
}

fn discovery_entry(scenario: &'static DiscoveryScenario) -> ScenarioEntry {
    recorded_path_entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

fn queue_entry(scenario: &'static QueueScenario) -> ScenarioEntry {
    recorded_path_entry(scenario, scenario.name, scenario.description, scenario.in_short_set, None)
}

/// Returns the entry of a scenario whose counterexamples are recorded paths.
fn recorded_path_entry<M: Model>(
    model: &'static M,
    name: &'static str,
    description: &'static str,
    in_short_set: bool,
    max_depth: Option<usize>,
) -> ScenarioEntry
where
    M::Transition: Debug,
{
    let check = move |time, memory_mib| {
        let limits = SearchLimits { time, memory_mib, max_depth };
        search(model, limits, |path| recorded_path_test(name, path))
    };
    ScenarioEntry {
        name,
        description,
        in_short_set,
        check: Box::new(check),
        replay: Box::new(|path| replay(model, path)),
    }
}

/// Explores a model. A violation is returned as a counterexample with the source that `test_source` makes of its path.
fn search<M: Model>(
    model: &M,
    limits: SearchLimits,
    test_source: impl Fn(&[Step<M>]) -> String,
) -> CheckReport {
    let report = explore(model, limits);
    let violation = report.violation.map(|violation| Counterexample {
        invariant: violation.invariant,
        transitions: violation.path.len(),
        test_source: test_source(&violation.path),
    });
    CheckReport { statistics: report.statistics, violation }
}

/// Returns the source of a test that replays a path, to be pasted into `tests/walk.rs`.
fn recorded_path_test<M: Model>(scenario: &str, path: &[Step<M>]) -> String
where
    M::Transition: Debug,
{
    let name: String = scenario.chars().map(|c| if c.is_alphanumeric() { c } else { '_' }).collect();
    let lines: String = path.iter().map(|step| format!("        {:?}\n", step.transition)).collect();
    format!("#[test]\nfn {name}_holds() {{\n    assert_path_holds({scenario:?}, r#\"\n{lines}    \"#);\n}}\n")
}

/// Takes the transitions of a recorded path from the initial state, and checks the invariants in every state.
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
        if let Some(invariant) = model.violated_invariant(&state, false) {
            return Err(ReplayError::Violated { invariant, transition: line.to_owned() });
        }
    }
    Ok(())
}

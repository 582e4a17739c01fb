//! Decodes the properties of the fleet: the number of routers, the kinds of engines, and how all engines behave.

use crate::load_report::ReportMode;
use crate::{Fields, Problem, SettingsError};
use emberflow::{EngineKind, Fleet};

/// Decodes the fleet from the settings' object. `seed` is the seed of the scheduler's random choices.
///
/// # Errors
/// Returns the first value that is missing or invalid.
pub fn decode_fleet(seed: u64, settings: Fields<'_>) -> Result<Fleet, SettingsError> {
    let domain = settings.object("domain")?;
    let location_count = settings.optional("zones", Fields::list)?.map(<[_]>::len);
    let progress_interval = domain.optional("tellsEveryMs", Fields::time)?;
    Ok(Fleet {
        seed,
        router_count: settings.positive_integer("instances")?,
        home_location: settings.field("myZone")?.as_index(location_count)?,
        kinds: engine_kinds(settings, domain)?,
        max_grant_fraction: domain.fraction("largestShare")?,
        shrinks_grants: domain.optional("whenShort", shrinks_grants)?.unwrap_or(false),
        honors_priorities: domain.flag("lanesCount")?,
        progress_interval: progress_interval.filter(|interval| !interval.is_zero()),
        reports_only_on_probe: ReportMode::read(settings)? == ReportMode::OnProbe,
        must_watch_endpoints: settings.one_of("discovery", [("push", false), ("ask", true)])?,
        tick: settings.positive_time("tickMs")?,
    })
}

/// Decodes whether an engine with too little free memory reduces the memory grants of requests.
fn shrinks_grants(domain: Fields<'_>, name: &str) -> Result<bool, SettingsError> {
    domain.one_of(name, [("line_up", false), ("cut", true), ("overcommit", false)])
}

/// Decodes the cores and the memory of each engine kind, from two lists of the same length.
fn engine_kinds(settings: Fields<'_>, domain: Fields<'_>) -> Result<Vec<EngineKind>, SettingsError> {
    let cores = domain.elements("kindCores")?;
    if cores.len() == 0 {
        return Err(domain.field("kindCores")?.error(Problem::Empty { element: "kind" }));
    }
    let count = cores.len();
    let memory = domain.elements_for_each("sizeMb", count, "kind")?;
    settings.optional("kinds", |settings, name| settings.elements_for_each(name, count, "kind").map(drop))?;
    let engine_kind = |(kind_cores, kind_memory): (Fields<'_>, Fields<'_>)| {
        Ok(EngineKind { cores: kind_cores.as_positive()?, memory_mb: kind_memory.as_positive()? })
    };
    cores.zip(memory).map(engine_kind).collect()
}

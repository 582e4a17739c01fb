//! Decodes load reports, and the settings that describe them.

use crate::{Fields, Problem, SettingsError};
use emberflow::LoadReport;

// Each of these constants lists the names of one figure that the scheduler uses. The settings and the engines may use
// any of the names.
const CORE_UTILIZATION_NAMES: &[&str] = &["busy", "util"];
const IN_FLIGHT_NAMES: &[&str] = &["rif", "inflight"];
const WAITING_FOR_MEMORY_NAMES: &[&str] = &["q", "queue"];
const MEMORY_UTILIZATION_NAMES: &[&str] = &["x0"];
const DISK_UTILIZATION_NAMES: &[&str] = &["x1"];
/// The names of all figures that the scheduler uses.
const USED_FIGURES: [&[&str]; 5] = [
    CORE_UTILIZATION_NAMES,
    IN_FLIGHT_NAMES,
    WAITING_FOR_MEMORY_NAMES,
    MEMORY_UTILIZATION_NAMES,
    DISK_UTILIZATION_NAMES,
];
/// Names of figures that engines may report and that the scheduler deliberately ignores.
const IGNORED_FIGURES: [&str; 6] = ["lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps"];

/// The ways in which engines report their load.
#[derive(PartialEq, Eq)]
pub(crate) enum ReportMode {
    /// Engines report their load with each answer.
    WithAnswers,
    /// Engines report their load in reply to a health check only.
    OnProbe,
    /// Engines do not report their load.
    Never,
}

impl ReportMode {
    /// Decodes the settings' `report.how`.
    pub(crate) fn read(settings: Fields<'_>) -> Result<Self, SettingsError> {
        let report = settings.object("report")?;
        report
            .one_of("how", [("answers", Self::WithAnswers), ("probe", Self::OnProbe), ("none", Self::Never)])
    }
}

/// Decodes the names of the figures in a load report, in the order of the figures. The list is empty if engines do not
/// report their load.
///
/// # Errors
/// Returns the first value that is missing or invalid.
pub fn load_report_names(settings: Fields<'_>) -> Result<Vec<String>, SettingsError> {
    match ReportMode::read(settings)? {
        ReportMode::Never => Ok(Vec::new()),
        ReportMode::WithAnswers | ReportMode::OnProbe => settings.object("report")?.text_list("names"),
    }
}

/// Returns an error for each figure in the settings whose name is unknown. The scheduler ignores these figures.
///
/// # Errors
/// Returns the first value that is missing or has the wrong type.
pub fn unknown_load_report_names(settings: Fields<'_>) -> Result<Vec<SettingsError>, SettingsError> {
    let mut unknown = Vec::new();
    if load_report_names(settings)?.is_empty() {
        return Ok(unknown);
    }
    for field in settings.object("report")?.elements("names")? {
        let name = field.as_text()?;
        if !is_known(name) {
            unknown.push(field.error(Problem::UnknownFigure { name: name.to_owned() }));
        }
    }
    Ok(unknown)
}

/// Whether a figure has a known name. The scheduler uses the figure or deliberately ignores it.
fn is_known(name: &str) -> bool {
    IGNORED_FIGURES.contains(&name) || USED_FIGURES.iter().any(|names| names.contains(&name))
}

/// Builds a load report. Calls `figure` once for each figure that the scheduler uses, with all names that the figure
/// may have. `figure` must return the value, or `None` if the engine did not report the figure.
///
/// # Errors
/// Returns the first error of `figure`.
pub fn build_load_report<E>(
    mut figure: impl FnMut(&[&str]) -> Result<Option<f64>, E>,
) -> Result<LoadReport, E> {
    Ok(LoadReport {
        core_utilization: figure(CORE_UTILIZATION_NAMES)?,
        in_flight: figure(IN_FLIGHT_NAMES)?,
        waiting_for_memory: figure(WAITING_FOR_MEMORY_NAMES)?,
        memory_utilization: figure(MEMORY_UTILIZATION_NAMES)?,
        disk_utilization: figure(DISK_UTILIZATION_NAMES)?,
    })
}

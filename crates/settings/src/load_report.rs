//! Load reports: how engines report their load, and which of its figures are read.

use crate::{Fields, Problem, SettingsError};
use emberflow::LoadReport;

/// Figures of a load report that are known but not read, under any of their names.
const IGNORED: [&str; 6] = ["lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps"];

/// How engines report their load.
#[derive(PartialEq, Eq)]
pub(crate) enum ReportMode {
    /// With each answer.
    WithAnswers,
    /// In reply to a health check.
    OnProbe,
    /// Not at all.
    Never,
}

impl ReportMode {
    /// Decodes the settings' `report.how`.
    pub(crate) fn read(params: Fields<'_>) -> Result<Self, SettingsError> {
        let report = params.object("report")?;
        report
            .one_of("how", [("answers", Self::WithAnswers), ("probe", Self::OnProbe), ("none", Self::Never)])
    }
}

/// The names of the figures in a load report, in their order; none where engines report nothing.
pub fn load_report_names(params: Fields<'_>) -> Result<Vec<String>, SettingsError> {
    match ReportMode::read(params)? {
        ReportMode::Never => Ok(Vec::new()),
        ReportMode::WithAnswers | ReportMode::OnProbe => params.object("report")?.text_list("names"),
    }
}

/// One error for each figure of a load report whose name is unknown, so that it is ignored.
pub fn unknown_load_report_names(params: Fields<'_>) -> Result<Vec<SettingsError>, SettingsError> {
    if load_report_names(params)?.is_empty() {
        return Ok(Vec::new());
    }
    let names = params.object("report")?.rows("names")?;
    let unknown = |field: Fields<'_>| {
        let name = field.as_text().ok().filter(|name| !is_known(name))?;
        Some(field.error(Problem::Unknown { found: name.to_owned() }))
    };
    Ok(names.filter_map(unknown).collect())
}

/// Whether a figure of that name is read or deliberately ignored.
fn is_known(name: &str) -> bool {
    let mut known = IGNORED.contains(&name);
    let lookup = |names: &[&str]| {
        known |= names.contains(&name);
        Ok::<_, SettingsError>(None)
    };
    let _ = build_load_report(lookup);
    known
}

/// Builds a load report from single figures. `figure` is called once for each, with all names that it may have
/// (the settings' and the wire's), and returns its value or `None` where the report lacks it.
pub fn build_load_report<E>(
    mut figure: impl FnMut(&[&str]) -> Result<Option<f64>, E>,
) -> Result<LoadReport, E> {
    Ok(LoadReport {
        busy: figure(&["busy", "util"])?,
        in_flight: figure(&["rif", "inflight"])?,
        waiting: figure(&["q", "queue"])?,
        memory: figure(&["x0"])?,
        disks: figure(&["x1"])?,
    })
}

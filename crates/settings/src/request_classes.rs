//! Decodes request classes: their latency objectives, deadlines and weights, and whether their requests are idempotent.

use crate::{Fields, Problem, SettingsError};
use emberflow::{Idempotency, KeyScope, RequestClass};

/// Decodes all request classes, in the order of the settings.
///
/// # Errors
/// Returns the first value that is missing or invalid.
pub fn decode_request_classes(params: Fields<'_>) -> Result<Vec<RequestClass>, SettingsError> {
    let domain = params.object("domain")?;
    let kind_count = domain.list("kindCores")?.len();
    let zone_count = params.optional("zones", Fields::list)?.map(<[_]>::len);
    let rows = params.rows("categories")?;
    let class_count = rows.len();
    if class_count == 0 {
        return Err(params.field("categories")?.error(Problem::Empty { element: "class" }));
    }
    let decoder = ClassDecoder {
        kind_count,
        zone_count,
        threads: for_each_class(domain, "parallelism", class_count)?,
        is_bulk_load: for_each_class(domain, "writesTables", class_count)?,
        waits_for_bulk_loads: for_each_class(domain, "blockedByLoads", class_count)?,
    };
    rows.enumerate().map(|(index, row)| decoder.request_class(index, row)).collect()
}

/// Decodes the row of a class, together with lists elsewhere in the settings that have one value for each class.
struct ClassDecoder<'a> {
    /// Number of engine kinds, to which classes refer by index.
    kind_count: usize,
    /// Number of locations, if the settings list them.
    zone_count: Option<usize>,
    threads: Vec<Option<Fields<'a>>>,
    is_bulk_load: Vec<Option<Fields<'a>>>,
    waits_for_bulk_loads: Vec<Option<Fields<'a>>>,
}

impl ClassDecoder<'_> {
    fn request_class(&self, index: usize, row: Fields<'_>) -> Result<RequestClass, SettingsError> {
        Ok(RequestClass {
            latency_objective: row.positive_time("onTimeMs")?,
            objective_stretch: row.optional("aimStretch", Fields::not_negative)?.unwrap_or(0.0),
            deadline: row.positive_time("deadlineMs")?,
            priority_weight: row.not_negative("gain")?,
            late_weight_fraction: row.fraction("lateShare")?,
            idempotency: idempotency(row)?,
            keeps_order: row.optional("keepOrder", Fields::flag)?.unwrap_or(false),
            kinds: row.optional("allowedOn", |row, name| row.indices(name, Some(self.kind_count)))?,
            locations: row.optional("zonesOpen", |row, name| row.indices(name, self.zone_count))?,
            threads: self.threads[index].map_or(Ok(1.0), Fields::as_positive)?,
            is_bulk_load: self.is_bulk_load[index].map_or(Ok(false), Fields::as_flag)?,
            waits_for_bulk_loads: self.waits_for_bulk_loads[index].map_or(Ok(false), Fields::as_flag)?,
        })
    }
}

/// Returns the values of an optional list with one element for each class.
fn for_each_class<'a>(
    domain: Fields<'a>,
    name: &str,
    class_count: usize,
) -> Result<Vec<Option<Fields<'a>>>, SettingsError> {
    let values = domain.optional(name, |domain, name| domain.rows_for_each(name, class_count, "class"))?;
    Ok(values.map_or_else(|| vec![None; class_count], |values| values.map(Some).collect()))
}

/// The values of the setting `repeat`.
enum Repeat {
    Repeatable,
    Once,
    ByKey,
}

/// Decodes whether requests of the class are idempotent.
fn idempotency(row: Fields<'_>) -> Result<Idempotency, SettingsError> {
    let repeat = [("repeatable", Repeat::Repeatable), ("once", Repeat::Once), ("by_key", Repeat::ByKey)];
    Ok(match row.one_of("repeat", repeat)? {
        Repeat::Repeatable => Idempotency::Idempotent,
        Repeat::Once => Idempotency::NonIdempotent,
        Repeat::ByKey => Idempotency::IdempotentWithKey { scope: scope(row)?, window: row.time("windowMs")? },
    })
}

/// Decodes the scope in which engines recognize an idempotency key.
fn scope(row: Fields<'_>) -> Result<KeyScope, SettingsError> {
    row.one_of("keyScope", [("all", KeyScope::All), ("zone", KeyScope::Location), ("cell", KeyScope::Cell)])
}

//! Decodes request classes: their latency objectives, deadlines and weights, and whether their requests are idempotent.

use crate::{Fields, Problem, SettingsError};
use emberflow::{Idempotency, KeyScope, RequestClass};

/// Decodes all request classes from the settings' object, in the order of the settings.
///
/// # Errors
/// Returns the first value that is missing or invalid.
pub fn decode_request_classes(settings: Fields<'_>) -> Result<Vec<RequestClass>, SettingsError> {
    let domain = settings.object("domain")?;
    let kind_count = domain.list("kindCores")?.len();
    let location_count = settings.optional("zones", Fields::list)?.map(<[_]>::len);
    let classes = settings.elements("categories")?;
    let class_count = classes.len();
    if class_count == 0 {
        return Err(settings.field("categories")?.error(Problem::Empty { element: "class" }));
    }
    let decoder = ClassDecoder {
        kind_count,
        location_count,
        threads: for_each_class(domain, "parallelism", class_count)?,
        is_bulk_load: for_each_class(domain, "writesTables", class_count)?,
        waits_for_bulk_loads: for_each_class(domain, "blockedByLoads", class_count)?,
    };
    classes.enumerate().map(|(index, class)| decoder.request_class(index, class)).collect()
}

/// Decodes a class from its object in the settings, and from lists elsewhere in the settings with one value for each
/// class.
struct ClassDecoder<'a> {
    /// Number of engine kinds, to which classes refer by index.
    kind_count: usize,
    /// Number of locations, if the settings list them.
    location_count: Option<usize>,
    /// One value for each class; `None` for all classes if the settings do not have the list.
    threads: Vec<Option<Fields<'a>>>,
    /// As for `threads`.
    is_bulk_load: Vec<Option<Fields<'a>>>,
    /// As for `threads`.
    waits_for_bulk_loads: Vec<Option<Fields<'a>>>,
}

impl ClassDecoder<'_> {
    fn request_class(&self, index: usize, class: Fields<'_>) -> Result<RequestClass, SettingsError> {
        Ok(RequestClass {
            latency_objective: class.positive_time("onTimeMs")?,
            objective_stretch: class.optional("aimStretch", Fields::non_negative)?.unwrap_or(0.0),
            deadline: class.positive_time("deadlineMs")?,
            priority_weight: class.non_negative("gain")?,
            late_weight_fraction: class.fraction("lateShare")?,
            idempotency: idempotency(class)?,
            keeps_order: class.optional("keepOrder", Fields::flag)?.unwrap_or(false),
            kinds: class.optional("allowedOn", |class, name| class.indices(name, Some(self.kind_count)))?,
            locations: class.optional("zonesOpen", |class, name| class.indices(name, self.location_count))?,
            threads: self.threads[index].map_or(Ok(1.0), Fields::as_positive)?,
            is_bulk_load: self.is_bulk_load[index].map_or(Ok(false), Fields::as_flag)?,
            waits_for_bulk_loads: self.waits_for_bulk_loads[index].map_or(Ok(false), Fields::as_flag)?,
        })
    }
}

/// Returns the elements of an optional list with one element for each class; `None` for each class without the list.
fn for_each_class<'a>(
    domain: Fields<'a>,
    name: &str,
    class_count: usize,
) -> Result<Vec<Option<Fields<'a>>>, SettingsError> {
    let values =
        domain.optional(name, |domain, name| domain.elements_for_each(name, class_count, "class"))?;
    Ok(values.map_or_else(|| vec![None; class_count], |values| values.map(Some).collect()))
}

/// The values of the setting `repeat`: whether the effect of a request is the same if the request runs twice.
enum Repeat {
    Repeatable,
    Once,
    ByKey,
}

/// Decodes whether requests of a class are idempotent.
fn idempotency(class: Fields<'_>) -> Result<Idempotency, SettingsError> {
    let repeat = [("repeatable", Repeat::Repeatable), ("once", Repeat::Once), ("by_key", Repeat::ByKey)];
    Ok(match class.one_of("repeat", repeat)? {
        Repeat::Repeatable => Idempotency::Idempotent,
        Repeat::Once => Idempotency::NonIdempotent,
        Repeat::ByKey => {
            Idempotency::IdempotentWithKey { scope: scope(class)?, window: class.time("windowMs")? }
        }
    })
}

/// Decodes the scope in which engines recognize an idempotency key.
fn scope(class: Fields<'_>) -> Result<KeyScope, SettingsError> {
    class.one_of("keyScope", [("all", KeyScope::All), ("zone", KeyScope::Location), ("cell", KeyScope::Cell)])
}

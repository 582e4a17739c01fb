//! Decodes the settings that every router is told at start, on the simulator's wire and on sockets alike.

mod fields;

pub use fields::{Fault, Fields, from_ms, to_ms};

use emberflow::{AttemptLimits, Effect, EngineKind, Fleet, KeyScope, LoadReport, RequestClass, RetryBudget};

/// Values of a load report that nothing reads, by the settings' names and the pages'.
const UNREAD: [&str; 6] = ["lat_ms", "latency_ms", "rate", "qps", "fail_rate", "eps"];

/// The names of the load signals that answers hold, in their order.
pub fn reported(params: Fields) -> Result<Vec<String>, Fault> {
    let report = params.part("report")?;
    Ok(match how(report)? {
        "none" => Vec::new(),
        _ => report.texts("names")?,
    })
}

/// How engines tell their load.
fn how<'a>(report: Fields<'a>) -> Result<&'a str, Fault> {
    one_of(report, "how", &["answers", "probe", "none"])
}

/// A text that must be one of these.
fn one_of<'a>(fields: Fields<'a>, name: &str, known: &[&str]) -> Result<&'a str, Fault> {
    let field = fields.field(name)?;
    let text = field.as_text()?;
    known.contains(&text).then_some(text).ok_or_else(|| unknown(field, text))
}

fn unknown(field: Fields, text: &str) -> Fault {
    field.fault(format_args!("is unknown: {text}"))
}

/// The fields of a load report that are unknown and so go unread, each in words.
pub fn unknown_reports(params: Fields) -> Result<Vec<String>, Fault> {
    if reported(params)?.is_empty() {
        return Ok(Vec::new());
    }
    let known = |name: &str| {
        let mut read = UNREAD.contains(&name);
        let _ = load(|names| {
            read |= names.contains(&name);
            Ok::<_, Fault>(None)
        });
        read
    };
    let told = |row: Fields| row.as_text().ok().filter(|name| !known(name)).map(|name| unknown(row, name));
    Ok(params.part("report")?.rows("names")?.filter_map(told).collect())
}

/// A load report, read by what asks for a figure under either of its names: the settings' and the pages'.
pub fn load<E>(mut figure: impl FnMut(&[&str]) -> Result<Option<f64>, E>) -> Result<LoadReport, E> {
    Ok(LoadReport {
        busy: figure(&["busy", "util"])?,
        in_flight: figure(&["rif", "inflight"])?,
        waiting: figure(&["q", "queue"])?,
        memory: figure(&["x0"])?,
        disks: figure(&["x1"])?,
    })
}

/// Whether clients mark their retries.
pub fn marks_retries(params: Fields) -> Result<bool, Fault> {
    let habits = params.optional("clientHabits", Fields::part)?;
    let marks = habits.map(|habits| habits.optional("marksRetry", Fields::flag)).transpose()?;
    Ok(marks.flatten().unwrap_or(false))
}

pub fn fleet(seed: u64, params: Fields) -> Result<Fleet, Fault> {
    let domain = params.part("domain")?;
    let short = |domain, name: &_| one_of(domain, name, &["line_up", "cut", "overcommit"]);
    let zones = params.optional("zones", Fields::list)?.map(<[_]>::len);
    Ok(Fleet {
        seed,
        router_count: params.count("instances")?,
        home_location: params.field("myZone")?.as_place(zones)?,
        kinds: kinds(params, domain)?,
        max_grant_share: domain.share("largestShare")?,
        shrinks_grants: domain.optional("whenShort", short)?.is_some_and(|what| what == "cut"),
        honors_priorities: domain.flag("lanesCount")?,
        progress_interval: domain.optional("tellsEveryMs", Fields::time)?.filter(|every| !every.is_zero()),
        reports_only_on_probe: how(params.part("report")?)? == "probe",
        polls_endpoint_list: one_of(params, "discovery", &["push", "ask"])? == "ask",
        tick: params.positive_time("tickMs")?,
    })
}

fn kinds(params: Fields, domain: Fields) -> Result<Vec<EngineKind>, Fault> {
    let cores = domain.rows("kindCores")?;
    if cores.len() == 0 {
        return Err(domain.field("kindCores")?.fault("holds no kind"));
    }
    let memory = rows_of(domain, "sizeMb", cores.len(), "kind")?;
    params.optional("kinds", |params, name| rows_of(params, name, cores.len(), "kind").map(drop))?;
    let kind = |(cores, memory): (Fields, Fields)| {
        Ok(EngineKind { cores: cores.as_positive()?, memory_mb: memory.as_positive()? })
    };
    cores.zip(memory).map(kind).collect()
}

/// A list with a row for each of so many.
fn rows_of<'a>(
    fields: Fields<'a>,
    name: &str,
    length: usize,
    what: &str,
) -> Result<impl ExactSizeIterator<Item = Fields<'a>>, Fault> {
    let rows = fields.rows(name)?;
    match rows.len() {
        held if held == length => Ok(rows),
        held => Err(fields.field(name)?.fault(format_args!("has {held} rows, not {length}, one a {what}"))),
    }
}

pub fn request_classes(params: Fields) -> Result<Vec<RequestClass>, Fault> {
    let domain = params.part("domain")?;
    let (kinds, zones) =
        (domain.list("kindCores")?.len(), params.optional("zones", Fields::list)?.map(<[_]>::len));
    let rows = params.rows("categories")?;
    let count = rows.len();
    if count == 0 {
        return Err(params.field("categories")?.fault("holds no class"));
    }
    let listed = |name| match domain.maybe(name) {
        Some(_) => rows_of(domain, name, count, "class").map(|rows| rows.map(Some).collect()),
        None => Ok(vec![None; count]),
    };
    let holds = |row: Option<Fields>| row.map_or(Ok(false), Fields::as_flag);
    let (threads, writes, blocked) =
        (listed("parallelism")?, listed("writesTables")?, listed("blockedByLoads")?);
    let read = |(at, row): (usize, Fields)| {
        Ok(RequestClass {
            latency_objective: row.positive_time("onTimeMs")?,
            objective_stretch: row.optional("aimStretch", Fields::not_negative)?.unwrap_or(0.0),
            deadline: row.positive_time("deadlineMs")?,
            priority_weight: row.not_negative("gain")?,
            late_share: row.share("lateShare")?,
            effect: match one_of(row, "repeat", &["repeatable", "once", "by_key"])? {
                "repeatable" => Effect::Idempotent,
                "once" => Effect::NonIdempotent,
                _ => Effect::IdempotentWithKey {
                    scope: match one_of(row, "keyScope", &["all", "zone", "cell"])? {
                        "all" => KeyScope::All,
                        "zone" => KeyScope::Location,
                        _ => KeyScope::Cell,
                    },
                    window: row.time("windowMs")?,
                },
            },
            keeps_order: row.optional("keepOrder", Fields::flag)?.unwrap_or(false),
            kinds: row.optional("allowedOn", |row, name| row.places(name, Some(kinds)))?,
            locations: row.optional("zonesOpen", |row, name| row.places(name, zones))?,
            threads: threads[at].map_or(Ok(1.0), Fields::as_positive)?,
            holds_group: holds(writes[at])?,
            waits_for_loads: holds(blocked[at])?,
        })
    };
    rows.enumerate().map(read).collect()
}

pub fn attempt_limits(params: Fields) -> Result<AttemptLimits, Fault> {
    let (caps, rules) = (params.part("caps")?, params.part("rules")?);
    let window = rules.optional("countedOverMs", Fields::positive_time)?;
    let extra = |name: &str| match (rules.optional(name, Fields::not_negative)?, window) {
        (Some(_), None) => Err(rules.field(name)?.fault("stands without `countedOverMs`")),
        (extra, _) => Ok(extra.unwrap_or(0.0)),
    };
    let (spare, per_request) = (extra("spareAttempts")?, extra("extraPerRequest")?);
    let longest = caps.optional("maxRetryAfterMs", Fields::time)?;
    Ok(AttemptLimits {
        max_attempts: caps.count("mostTries")?,
        may_cancel: caps.flag("cancel")?,
        may_probe: caps.optional("probes", Fields::flag)?.unwrap_or(false),
        start_capacity: rules.share("startCapacity")?,
        warm_up: rules.positive_time("warmUpMs")?,
        overload_factor: rules.positive("overloadFactor")?,
        overload_window: rules.positive_time("fallMs")?,
        key_cooldown: rules.optional("keyQuietMs", Fields::time)?,
        retry_budget: window.map(|window| RetryBudget { spare, per_request, window }),
        max_retry_after: caps.flag("retryAfter")?.then_some(longest).flatten(),
    })
}

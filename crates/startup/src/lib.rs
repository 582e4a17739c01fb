//! Decodes the settings that every router is told at start, on the simulator's wire and on sockets alike.

mod fields;

pub use fields::{Fault, Fields, from_ms, to_ms};

use emberflow::{Duties, Effect, Fleet, HopBudget, Kind, Scope, Signals, TrafficType};
use serde_json::Value;

/// The names of the load signals that answers hold, in their order.
pub fn reported(params: Fields) -> Result<Vec<String>, Fault> {
    let report = params.part("report")?;
    Ok(match report.text("how")? {
        "none" => Vec::new(),
        _ => report.rows("names")?.iter().filter_map(|n| n.as_str().map(str::to_owned)).collect(),
    })
}

/// A load report, read by what asks for a figure under either of its names: the settings' and the pages'.
pub fn load<E>(figure: impl Fn(&[&str]) -> Result<Option<f64>, E>) -> Result<Signals, E> {
    Ok(Signals {
        busy: figure(&["busy", "util"])?,
        in_flight: figure(&["rif", "inflight"])?,
        waiting: figure(&["q", "queue"])?,
        memory: figure(&["x0"])?,
        disks: figure(&["x1"])?,
    })
}

pub fn fleet(seed: u64, params: Fields) -> Result<Fleet, Fault> {
    let domain = params.part("domain")?;
    let cores = domain.rows("kindCores")?.iter();
    let memory = domain.rows("sizeMb")?.iter();
    let number = |value: &Value| value.as_f64().unwrap_or(0.0);
    Ok(Fleet {
        seed,
        routers: params.index("instances")?,
        home: params.index("myZone")?,
        kinds: cores.zip(memory).map(|(c, m)| Kind { cores: number(c), memory_mb: number(m) }).collect(),
        largest_share: domain.number("largestShare")?,
        cuts_grants: domain.text("whenShort").is_ok_and(|what| what == "cut"),
        heeds_priorities: domain.flag("lanesCount")?,
        note_every: domain.maybe_time("tellsEveryMs").filter(|every| !every.is_zero()),
        probes_tell: params.part("report")?.text("how")? == "probe",
        list_is_asked: params.text("discovery")? == "ask",
        tick: params.time("tickMs")?,
    })
}

pub fn traffic(params: Fields) -> Result<Vec<TrafficType>, Fault> {
    let domain = params.part("domain")?;
    let listed = |name: &str, at: usize| domain.rows(name).ok().and_then(|rows| rows.get(at));
    let holds = |name, at| listed(name, at).and_then(Value::as_bool).unwrap_or(false);
    let read = |(at, value): (usize, &Value)| {
        let row = Fields(value);
        Ok(TrafficType {
            target: row.time("onTimeMs")?,
            target_stretch: row.maybe_number("aimStretch").unwrap_or(0.0),
            patience: row.time("deadlineMs")?,
            revenue: row.number("gain")?,
            late_share: row.number("lateShare")?,
            effect: match row.text("repeat")? {
                "repeatable" => Effect::Replayable,
                "once" => Effect::SingleUse,
                "by_key" => Effect::Referenced {
                    scope: match row.text("keyScope")? {
                        "all" => Scope::All,
                        "zone" => Scope::Location,
                        "cell" => Scope::Cell,
                        other => return Err(format!("unknown `keyScope` {other}")),
                    },
                    window: row.time("windowMs")?,
                },
                other => return Err(format!("unknown `repeat` {other}")),
            },
            keeps_order: row.maybe_flag("keepOrder"),
            kinds: row.maybe_indices("allowedOn"),
            locations: row.maybe_indices("zonesOpen"),
            threads: listed("parallelism", at).and_then(Value::as_f64).unwrap_or(1.0),
            holds_group: holds("writesTables", at),
            waits_for_loads: holds("blockedByLoads", at),
        })
    };
    params.rows("categories")?.iter().enumerate().map(read).collect()
}

pub fn duties(params: Fields) -> Result<Duties, Fault> {
    let (caps, rules) = (params.part("caps")?, params.part("rules")?);
    let budget = |over| {
        Some(HopBudget {
            spare: rules.maybe_number("spareAttempts").unwrap_or(0.0),
            per_task: rules.maybe_number("extraPerRequest").unwrap_or(0.0),
            over,
        })
    };
    Ok(Duties {
        most_hops: caps.index("mostTries")?,
        may_cancel: caps.flag("cancel")?,
        may_probe: caps.maybe_flag("probes"),
        start_capacity: rules.number("startCapacity")?,
        warm_up: rules.time("warmUpMs")?,
        overload_factor: rules.number("overloadFactor")?,
        fall: rules.time("fallMs")?,
        key_rest: rules.maybe_time("keyQuietMs"),
        hop_budget: rules.maybe_time("countedOverMs").and_then(budget),
        longest_come_back: caps
            .flag("retryAfter")?
            .then(|| caps.maybe_number("maxRetryAfterMs").map(from_ms))
            .flatten(),
    })
}

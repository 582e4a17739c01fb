//! One instance: ids to indices and back, events to the router's calls, its words to actions.

use emberflow::{
    Actions, Arrival, AttemptEnded, AttemptOutcome, Endpoint, EndpointUpdate, EngineId, KeyId, Lifecycle,
    LoadReport, ProgressNote, RequestId, Scheduler, Usage,
};
use emberflow_settings::{
    Fields, attempt_limits, fleet, from_ms, load, marks_retries, reported, request_classes, to_ms,
};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::Write;
use std::time::Duration;

pub struct Instance {
    who: u64,
    scheduler: Scheduler,
    reported: Vec<String>,
    marks_retries: bool,
    names: Names,
}

#[derive(Default)]
struct Names {
    requests: Index,
    engines: Index,
    keys: Index,
}

#[derive(Default)]
struct Index {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

impl Index {
    fn number(&mut self, name: &str) -> usize {
        self.numbers.get(name).copied().unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.numbers.insert(name.to_owned(), self.names.len() - 1);
            self.names.len() - 1
        })
    }
}

struct Writer<'a> {
    who: u64,
    now: Duration,
    names: &'a Names,
    reply: &'a mut Vec<u8>,
}

impl Writer<'_> {
    fn write(&mut self, mut action: Value) {
        action["who"] = self.who.into();
        writeln!(self.reply, "{action}").expect("writing to memory");
    }

    fn request(&self, request: RequestId) -> &str {
        &self.names.requests.names[request as usize]
    }
}

impl Actions for Writer<'_> {
    fn send(&mut self, request: RequestId, engine: EngineId, until: Duration) {
        let engine = &self.names.engines.names[engine];
        let until = to_ms(until.max(self.now));
        self.write(
            json!({"op": "PASS_ON", "ref": self.request(request), "engine": engine, "abandonAtMs": until}),
        );
    }
    fn set_terms(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        let request = self.request(request);
        self.write(json!({"op": "PROVIDE", "ref": request, "memoryGrant": grant_mb, "importance": priority}));
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.write(json!({"op": "ABORT_ATTEMPT", "ref": self.request(request), "hop": attempt}));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        let after = retry_after.map_or(0.0, to_ms);
        self.write(json!({"op": "TURN_AWAY", "ref": self.request(request), "retryAfterMs": after}));
    }
    fn fail(&mut self, request: RequestId) {
        self.write(json!({"op": "ABORT", "ref": self.request(request)}));
    }
    fn probe(&mut self, engine: EngineId) {
        self.write(json!({"op": "TOUCH", "engine": self.names.engines.names[engine]}));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.write(json!({"op": "AFTER", "offsetMs": to_ms(wait), "keyBack": 0}));
    }
    fn watch(&mut self) {
        self.write(json!({"op": "SUBSCRIBE", "on": true}));
    }
    /// Numbers end with their instance here.
    fn forget(&mut self, _: EngineId) {}
}

impl Instance {
    pub fn new(who: u64, line: Fields) -> Result<Self, String> {
        let params = line.part("params")?;
        let reported = reported(params)?;
        let scheduler = Scheduler::new(
            fleet(line.whole("rngSeed")?, params)?,
            request_classes(params)?,
            attempt_limits(params)?,
        );
        let marks_retries = marks_retries(params)?;
        Ok(Self { who, scheduler, reported, marks_retries, names: Names::default() })
    }

    pub fn event(
        &mut self,
        op: &str,
        line: Fields,
        now: Duration,
        tables: &HashMap<u64, Vec<Value>>,
        reply: &mut Vec<u8>,
    ) -> Result<(), String> {
        let Self { who, scheduler, reported, marks_retries, names } = self;
        let known = |name| {
            let name: &str = line.text(name)?;
            Ok::<_, String>(names.requests.numbers.get(name).map(|t| *t as RequestId))
        };
        match op {
            "ANNOUNCE" => {
                let mode = line.text("mode")?;
                if mode == "broken" {
                    scheduler.endpoint_list_failed(now, &mut Writer { who: *who, now, names, reply });
                    return Ok(());
                }
                let rows = tables.get(&line.whole("ref")?).ok_or("`ref` names no table")?;
                let endpoints = rows.iter().map(|row| endpoint(Fields::of(row), &mut names.engines));
                let endpoints = endpoints.collect::<Result<Vec<_>, String>>()?;
                let out = &mut Writer { who: *who, now, names, reply };
                let update = if mode == "patch" { EndpointUpdate::Changes } else { EndpointUpdate::FullList };
                scheduler.endpoints_changed(now, update, endpoints, out);
            }
            "ACCEPT" => {
                let arrival = Arrival {
                    request: names.requests.number(line.text("ref")?) as RequestId,
                    class: line.index("qos")?,
                    key: match line.maybe("table") {
                        Some(_) => Some(names.keys.number(line.text("table")?) as KeyId),
                        None => None,
                    },
                    cost: line.maybe_time("estimateMs").filter(|cost| !cost.is_zero()),
                    memory_mb: line.maybe_number("needMb").filter(|need| *need > 0.0),
                    deadline: from_ms(line.number("graceMs")?),
                    waited: Duration::ZERO,
                    is_retry: marks_retries.then(|| line.maybe_flag("repeat")),
                    group: line.maybe_number("tableGroup").map(|g| g as u64),
                };
                scheduler.accept(now, arrival, &mut Writer { who: *who, now, names, reply });
            }
            "ENDED" => {
                let used = line.maybe_number("usedUp").unwrap_or(0.0) as u64;
                let usage = |used| Usage {
                    cost: Duration::from_millis(used / 4096),
                    memory_mb: (used % 4096 * 4) as f64,
                };
                let request = known("ref")?;
                let ended = AttemptEnded {
                    request: request.unwrap_or(RequestId::MAX),
                    attempt: line.index("hop")?,
                    engine: names.engines.number(line.text("engine")?),
                    outcome: attempt_outcome(line.text("result")?)?,
                    elapsed: line.time("delaySeenMs")?,
                    usage: (used > 0).then(|| usage(used)),
                    load_report: load_report(reported, line),
                    request_done: line.flag("noMore")?,
                };
                if request.is_some() {
                    scheduler.attempt_ended(now, ended, &mut Writer { who: *who, now, names, reply });
                }
            }
            "NOTICE" => {
                let (request, attempt, value) = (known("ref")?, line.index("hop")?, line.number("value")?);
                let notice = match (line.whole("sort")?, value) {
                    (1, done) => ProgressNote::Fraction(done),
                    (2, missing_mb) => ProgressNote::Spilling(missing_mb),
                    (3, 1.0) => ProgressNote::WaitingForMemory,
                    (3, 2.0) => ProgressNote::WaitingForLoad,
                    (sort, value) => return Err(format!("`sort` {sort} with `value` {value} is unknown")),
                };
                if let Some(request) = request {
                    scheduler.progress_noted(
                        now,
                        request,
                        attempt,
                        notice,
                        &mut Writer { who: *who, now, names, reply },
                    );
                }
            }
            "CANCELLED_BY_CLIENT" => {
                if let Some(request) = known("ref")? {
                    scheduler.clients_left(
                        now,
                        &[request],
                        &[],
                        &mut Writer { who: *who, now, names, reply },
                    );
                }
            }
            "BELL" => scheduler.wake(now, &mut Writer { who: *who, now, names, reply }),
            "PROBE_DONE" => {
                let engine = names.engines.number(line.text("engine")?);
                let load_report = load_report(reported, line);
                let out = &mut Writer { who: *who, now, names, reply };
                scheduler.probed(now, engine, load_report, out);
            }
            "INBOX" | "STARTED" => {}
            _ => return Err(format!("unknown `op` {op}")),
        }
        Ok(())
    }
}

fn endpoint(row: Fields, engines: &mut Index) -> Result<Endpoint, String> {
    Ok(Endpoint {
        engine: engines.number(row.text("engine")?),
        location: row.index("site")?,
        kind: row.index("flavor")?,
        cell: row.whole("cohort")?,
        lifecycle: match row.text("condition")? {
            "healthy" => Lifecycle::Ready,
            "deregistered" => Lifecycle::Gone,
            _ => Lifecycle::Draining,
        },
        launched: row.maybe_time("launchedMs").filter(|at| !at.is_zero()),
    })
}

fn attempt_outcome(result: &str) -> Result<AttemptOutcome, String> {
    Ok(match result {
        "success" => AttemptOutcome::Succeeded,
        "failure" => AttemptOutcome::Failed,
        "overloaded" => AttemptOutcome::Overloaded,
        "timed_out" => AttemptOutcome::TimedOut,
        "unreachable" => AttemptOutcome::Unreachable,
        "broken" => AttemptOutcome::Broken,
        "withdrawn" => AttemptOutcome::Withdrawn,
        "void" => AttemptOutcome::Void,
        other => return Err(format!("unknown `result` {other}")),
    })
}

fn load_report(reported: &[String], line: Fields) -> Option<LoadReport> {
    let row = line.maybe("stats")?.as_array()?;
    let value = |names: &[&str]| {
        let at = reported.iter().position(|told| names.contains(&told.as_str()));
        Ok::<_, String>(at.and_then(|at| row.get(at)?.as_f64()))
    };
    load(value).ok()
}

//! A router instance: a scheduler, and the numbers for the simulator's names.

use crate::action_writer::ActionWriter;
use crate::error::AdapterError;
use crate::event::{ArrivedRequest, EndedAttempt, EndpointRow, Event};
use crate::names::{NameTable, Names};
use emberflow::{
    Arrival, AttemptEnded, Endpoint, EndpointUpdate, EngineId, KeyId, LoadReport, RequestId, Scheduler,
};
use emberflow_settings::{
    Fields, build_load_report, clients_mark_retries, decode_attempt_limits, decode_fleet,
    decode_request_classes, load_report_names,
};
use serde_json::Value;
use std::collections::HashMap;
use std::convert::Infallible;
use std::time::Duration;

/// Tables of endpoints, by the simulator's numbers. The rows of a table are not decoded.
pub type Tables = HashMap<u64, Vec<Value>>;

/// A router instance of the simulation.
pub struct Instance {
    /// The simulator's number of the instance.
    number: u64,
    scheduler: Scheduler,
    /// The names of the figures in the engines' load reports, in the order of the figures.
    load_report_names: Vec<String>,
    clients_mark_retries: bool,
    names: Names,
}

impl Instance {
    /// Creates an instance with the settings and the seed of a `NEW_INSTANCE` message.
    ///
    /// # Errors
    /// Fails if a setting is missing or invalid.
    pub fn new(number: u64, message: Fields<'_>) -> Result<Self, AdapterError> {
        let settings = message.object("params")?;
        let load_report_names = load_report_names(settings)?;
        let seed = message.unsigned("rngSeed")?;
        let fleet = decode_fleet(seed, settings)?;
        let scheduler =
            Scheduler::new(fleet, decode_request_classes(settings)?, decode_attempt_limits(settings)?);
        let clients_mark_retries = clients_mark_retries(settings)?;
        Ok(Self { number, scheduler, load_report_names, clients_mark_retries, names: Names::default() })
    }

    /// Passes a message to the scheduler, and appends the scheduler's actions to `reply`. Messages about unknown
    /// requests are ignored.
    ///
    /// # Errors
    /// Fails if the message is invalid or refers to an unknown table.
    pub fn handle(
        &mut self,
        operation: &str,
        message: Fields<'_>,
        now: Duration,
        tables: &Tables,
        reply: &mut Vec<u8>,
    ) -> Result<(), AdapterError> {
        match Event::decode(operation, message)? {
            Event::EndpointListFailed => {
                let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
                scheduler.endpoint_list_failed(now, &mut actions);
            }
            Event::EndpointsChanged { update, table } => {
                let rows = tables.get(&table).ok_or(AdapterError::UnknownTable(table))?;
                self.endpoints_changed(update, rows, now, reply)?;
            }
            Event::RequestArrived(request) => self.accept(request, now, reply),
            Event::AttemptEnded(end) => self.attempt_ended(end, now, reply),
            Event::Progress { request, attempt, update } => {
                let Some(request) = self.known_request(request) else { return Ok(()) };
                let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
                scheduler.progress_updated(now, request, attempt, update, &mut actions);
            }
            Event::ClientLeft { request } => {
                let Some(request) = self.known_request(request) else { return Ok(()) };
                let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
                scheduler.clients_left(now, &[request], &[], &mut actions);
            }
            Event::Wake => {
                let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
                scheduler.wake(now, &mut actions);
            }
            Event::ProbeEnded { engine, report_figures } => {
                self.probe_ended(engine, report_figures, now, reply)
            }
            Event::Ignored => {}
        }
        Ok(())
    }

    /// Returns the scheduler, and a writer that appends the scheduler's actions to `reply`.
    fn scheduler_and_writer<'a>(
        &'a mut self,
        now: Duration,
        reply: &'a mut Vec<u8>,
    ) -> (&'a mut Scheduler, ActionWriter<'a>) {
        let writer = ActionWriter { instance: self.number, now, names: &self.names, reply };
        (&mut self.scheduler, writer)
    }

    fn known_request(&self, name: &str) -> Option<RequestId> {
        self.names.requests.get(name).map(RequestId::from_index)
    }

    fn endpoints_changed(
        &mut self,
        update: EndpointUpdate,
        rows: &[Value],
        now: Duration,
        reply: &mut Vec<u8>,
    ) -> Result<(), AdapterError> {
        let endpoints = endpoints(rows, &mut self.names.engines)?;
        let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
        scheduler.endpoints_changed(now, update, endpoints, &mut actions);
        Ok(())
    }

    fn probe_ended(
        &mut self,
        engine: &str,
        report_figures: Option<&[Value]>,
        now: Duration,
        reply: &mut Vec<u8>,
    ) {
        let engine = EngineId(self.names.engines.get_or_assign(engine));
        let load_report = load_report(&self.load_report_names, report_figures);
        let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
        scheduler.probe_ended(now, engine, load_report, &mut actions);
    }

    fn accept(&mut self, arrived: ArrivedRequest<'_>, now: Duration, reply: &mut Vec<u8>) {
        let arrival = Arrival {
            request: RequestId::from_index(self.names.requests.get_or_assign(arrived.request)),
            class: arrived.class,
            key: arrived.key.map(|key| KeyId::from_index(self.names.keys.get_or_assign(key))),
            estimated_work: arrived.estimated_work,
            estimated_memory_mb: arrived.estimated_memory_mb,
            deadline: arrived.deadline,
            queue_time: Duration::ZERO,
            is_retry: self.clients_mark_retries.then_some(arrived.is_retry),
            table_group: arrived.table_group,
        };
        let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
        scheduler.accept(now, arrival, &mut actions);
    }

    fn attempt_ended(&mut self, end: EndedAttempt<'_>, now: Duration, reply: &mut Vec<u8>) {
        // The engine must get its number even if the request is unknown: numbers follow the order of the first use.
        let engine = EngineId(self.names.engines.get_or_assign(end.engine));
        let Some(request) = self.known_request(end.request) else { return };
        let ended = AttemptEnded {
            request,
            attempt: end.attempt,
            engine,
            outcome: end.outcome,
            elapsed: end.elapsed,
            usage: end.usage,
            load_report: load_report(&self.load_report_names, end.report_figures),
            request_done: end.request_done,
        };
        let (scheduler, mut actions) = self.scheduler_and_writer(now, reply);
        scheduler.attempt_ended(now, ended, &mut actions);
    }
}

/// Decodes the rows of a table of endpoints.
fn endpoints(rows: &[Value], engines: &mut NameTable) -> Result<Vec<Endpoint>, AdapterError> {
    let mut endpoints = Vec::with_capacity(rows.len());
    for row in rows {
        let row = EndpointRow::decode(row)?;
        endpoints.push(Endpoint {
            engine: EngineId(engines.get_or_assign(row.engine)),
            location: row.location,
            kind: row.kind,
            cell: row.cell,
            lifecycle: row.lifecycle,
            launched_at: row.launched_at,
        });
    }
    Ok(endpoints)
}

/// Builds a load report from its figures, which are in the order of `report_names`. Returns `None` if the message has
/// no report.
fn load_report(report_names: &[String], report_figures: Option<&[Value]>) -> Option<LoadReport> {
    let report_figures = report_figures?;
    let figure = |accepted_names: &[&str]| {
        let index = report_names.iter().position(|name| accepted_names.contains(&name.as_str()));
        Ok::<_, Infallible>(index.and_then(|index| report_figures.get(index)?.as_f64()))
    };
    let Ok(report) = build_load_report(figure);
    Some(report)
}

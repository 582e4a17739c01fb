//! Reads replies from engines, and applies them to attempts and connections.

use super::attempt::Attempt;
use super::commands::EngineCommand;
use super::connection::Reachability;
use super::protocol_error::EngineProtocolError;
use super::reply::{EngineReply, MAX_REPLY_BYTES, ReplyKind};
use super::reply_fields::ReplyFields;
use super::result_pages::{FIRST_PAGE, ResultPages};
use super::{EnginePool, PoolEvent};
use crate::context::Context;
use crate::ring::FillOutcome;
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{AttemptOutcome, EngineId, LoadReport};
use std::io::Read;

/// Limit of the bytes that a connection's input buffer holds. Complete replies are removed before it is filled again.
const MAX_INPUT_BYTES: usize = 32 * 1024;
// Otherwise a long reply would fill the buffer without being complete, and would never be handled.
const _: () = assert!(MAX_REPLY_BYTES < MAX_INPUT_BYTES);
/// Limit of how often a connection's input buffer is filled in one iteration of the event loop.
const MAX_FILLS_PER_ITERATION: usize = 8;
/// Ratio of the reply timeout to the connect timeout. A reply that has begun to arrive must be complete, and the next
/// page of a result must arrive, within the reply timeout.
const REPLY_TIMEOUT_RATIO: u32 = 2;

/// Input of an engine that the router rejects. The connection is closed.
struct RejectedInput {
    /// The id of the rejected reply, which names a request; `None` if the reply could not be decoded.
    reply_id: Option<String>,
    error: EngineProtocolError,
}

impl EnginePool {
    /// Reads a limited number of bytes from a connection, and handles all complete replies. Returns whether there may
    /// be more input to read.
    pub fn read(&mut self, connection_slot: Slot, socket: &mut impl Read, context: &mut Context) -> bool {
        let mut has_more = true;
        for _ in 0..MAX_FILLS_PER_ITERATION {
            has_more = self.fill_and_process(connection_slot, socket, context);
            if !has_more {
                break;
            }
        }
        self.schedule_reply_timeout(connection_slot, context);
        has_more
    }

    /// Fills a connection's input buffer once, and handles all complete replies. Returns whether there may be more input
    /// to read.
    fn fill_and_process(
        &mut self,
        connection_slot: Slot,
        socket: &mut impl Read,
        context: &mut Context,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(connection_slot) else { return false };
        let engine_id = connection.engine;
        let filled = connection.input.fill(socket, MAX_INPUT_BYTES);
        if let Err(rejected) = self.process_input(connection_slot, context) {
            context.counters.count("engine_input_malformed");
            self.log_malformed_input(engine_id, connection_slot, &rejected);
            let reason = rejected.error.to_string();
            self.close_connection(connection_slot, &reason, Reachability::Reachable, context);
            return false;
        }
        let reason = match filled {
            Ok(FillOutcome::WouldBlock) => return false,
            Ok(FillOutcome::LimitReached) => return self.connections.get(connection_slot).is_some(),
            Ok(FillOutcome::Closed) => "engine closed the connection".to_owned(),
            Err(error) => error.to_string(),
        };
        self.close_connection(connection_slot, &reason, Reachability::Reachable, context);
        false
    }

    /// Logs rejected input. All attempts on the connection end with it.
    fn log_malformed_input(&self, engine_id: EngineId, connection_slot: Slot, rejected: &RejectedInput) {
        let engine = self.engines.get(&engine_id);
        let address = engine.map_or_else(String::new, |engine| engine.address.to_string());
        let connection = self.connections.get(connection_slot);
        let attempts = connection.map_or(0, |connection| connection.attempts.len());
        let RejectedInput { reply_id, error } = rejected;
        log::warn!(
            "malformed engine input: engine={engine_id} address={address} connection={connection_slot:?} \
             attempts={attempts} reply_id={reply_id:?} error=\"{error}\""
        );
    }

    /// Sets the reply timeout if a reply has begun to arrive and the timeout is not set yet.
    fn schedule_reply_timeout(&mut self, connection_slot: Slot, context: &mut Context) {
        let Some(connection) = self.connections.get_mut(connection_slot) else { return };
        if connection.reply_due.is_none() && !connection.input.is_empty() {
            let due = context.now() + self.connect_timeout * REPLY_TIMEOUT_RATIO;
            connection.reply_due = Some(due);
            context.timers.set(due, Timer::ReplyTimeout(connection_slot));
        }
    }

    /// Closes a connection whose reply timeout has expired. No further reply can arrive
    /// until the incomplete one is complete.
    pub fn reply_overdue(&mut self, connection_slot: Slot, context: &mut Context) {
        let due = self.connections.get(connection_slot).and_then(|connection| connection.reply_due);
        if due.is_some_and(|due| due <= context.now()) {
            context.counters.count("engine_input_cut_short");
            self.close_connection(
                connection_slot,
                "reply incomplete when its timeout expired",
                Reachability::Reachable,
                context,
            );
        }
    }

    /// Handles all complete replies in a connection's input.
    fn process_input(&mut self, connection_slot: Slot, context: &mut Context) -> Result<(), RejectedInput> {
        loop {
            let Some(connection) = self.connections.get_mut(connection_slot) else { return Ok(()) };
            let decoded = EngineReply::decode(connection.input.contents())
                .map_err(|error| RejectedInput { reply_id: None, error })?;
            let Some((reply, length)) = decoded else { return Ok(()) };
            connection.input.consume(length);
            connection.last_reply_at = context.now();
            if let Some(due) = connection.reply_due.take() {
                context.timers.clear(due, Timer::ReplyTimeout(connection_slot));
            }
            if connection.pass_health_check() {
                self.schedule_writes(connection_slot, context);
            }
            let reply_id = reply.id.clone();
            self.dispatch_reply(connection_slot, reply, context)
                .map_err(|error| RejectedInput { reply_id: Some(reply_id), error })?;
        }
    }

    fn dispatch_reply(
        &mut self,
        connection_slot: Slot,
        reply: EngineReply,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        if reply.kind == ReplyKind::Pong {
            // Only a pong after a cancellation carries a request's name; the answer to a health check carries none.
            if let Some(attempt_slot) = self.attempt_by_request_name(connection_slot, &reply.id) {
                self.cancel_acknowledged(attempt_slot, context);
            }
            return Ok(());
        }
        match self.attempt_by_request_name(connection_slot, &reply.id) {
            Some(attempt_slot) => self.handle_reply(attempt_slot, reply, context),
            None => {
                context.counters.count("engine_answers_without_attempt");
                Ok(())
            }
        }
    }

    /// Returns the attempt of the request `request_name` on a connection; `None` if the connection carries none.
    fn attempt_by_request_name(&self, connection_slot: Slot, request_name: &str) -> Option<Slot> {
        self.connections.get(connection_slot)?.attempts.get(request_name).copied()
    }

    /// Ends a cancelled attempt after its engine has acknowledged the cancellation with a pong. The engine has stopped
    /// the attempt, and sends no further reply to it.
    fn cancel_acknowledged(&mut self, attempt_slot: Slot, context: &mut Context) {
        if self.attempts.get(attempt_slot).is_some_and(Attempt::is_cancellation_pending) {
            self.end(attempt_slot, AttemptOutcome::Cancelled, None, context);
        }
    }

    fn handle_reply(
        &mut self,
        attempt_slot: Slot,
        reply: EngineReply,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        let Some(attempt) = self.attempts.get(attempt_slot) else { return Ok(()) };
        let EngineReply { id: _, kind, fields: encoded_fields, body } = reply;
        let fields = encoded_fields.decode()?;
        let load_report = fields.load_report()?;
        if attempt.is_cancellation_pending() && is_ignored_after_cancel(&kind, &fields)? {
            return Ok(());
        }
        match kind {
            ReplyKind::Result => self.handle_result(attempt_slot, &fields, body, load_report, context),
            ReplyKind::Page => self.handle_page(attempt_slot, &fields, body, context),
            ReplyKind::Progress => self.handle_progress(attempt_slot, &fields, context),
            // An attempt that never ran may be sent again, whatever its class.
            ReplyKind::Overloaded if attempt.result.is_some() => {
                Err(EngineProtocolError::RejectedAfterResult)
            }
            ReplyKind::Overloaded => {
                self.end(attempt_slot, AttemptOutcome::Overloaded, load_report, context);
                Ok(())
            }
            ReplyKind::Failed => {
                self.end(attempt_slot, AttemptOutcome::Failed, load_report, context);
                Ok(())
            }
            // `dispatch_reply` handles pongs.
            ReplyKind::Pong => Ok(()),
            ReplyKind::Unknown(reply_type) => Err(EngineProtocolError::UnknownReply(reply_type)),
        }
    }

    /// Stores the first page of a result, and requests further pages. Ignores a copy of the first page.
    fn handle_result(
        &mut self,
        attempt_slot: Slot,
        fields: &ReplyFields<'_>,
        body: Vec<u8>,
        load_report: Option<LoadReport>,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return Ok(()) };
        let pages = fields.page_count()?;
        if let Some(result) = &attempt.result {
            result.check_first_page_copy(pages, &body)?;
            context.counters.count("engine_answers_repeated");
            return Ok(());
        }
        attempt.result = Some(ResultPages::new(pages, fields.usage()?, load_report));
        self.store_page(attempt_slot, FIRST_PAGE, body, context)
    }

    /// Stores a further page of a result. Ignores a copy of a page, and a page that was not requested.
    fn handle_page(
        &mut self,
        attempt_slot: Slot,
        fields: &ReplyFields<'_>,
        body: Vec<u8>,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        let Some(attempt) = self.attempts.get(attempt_slot) else { return Ok(()) };
        let page = fields.page_number()?;
        let is_missing =
            attempt.result.as_ref().map_or(Ok(false), |result| result.is_missing(page, &body))?;
        if !is_missing {
            context.counters.count("engine_answers_repeated");
            return Ok(());
        }
        self.store_page(attempt_slot, page, body, context)
    }

    /// Adds a missing page to a result. Cancels the attempt if the incomplete results of all attempts would exceed their
    /// limit: the router must not run out of memory, and the engine is not at fault.
    fn store_page(
        &mut self,
        attempt_slot: Slot,
        number: usize,
        page: Vec<u8>,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return Ok(()) };
        let Some(result) = attempt.result.as_mut() else { return Ok(()) };
        result.check_missing_page(number, &page)?;
        if result.lacks_one_page() {
            // The result ends its attempt at once, so it needs no part of the limit.
            self.result_bytes.charge_briefly(page.len());
        } else if !self.result_bytes.charge(page.len()) {
            context.counters.count("results_over_the_limit");
            self.cancel(attempt_slot, context);
            return Ok(());
        }
        result.insert(number, page);
        let id = attempt.request_name.as_str();
        let requests = result.take_page_requests();
        let commands: Vec<Vec<u8>> =
            requests.map(|requested| EngineCommand::Page { id, page: requested }.encode()).collect();
        if !commands.is_empty() {
            self.append_message(attempt_slot, &commands.concat(), context);
        }
        self.end_if_result_complete(attempt_slot, context);
        Ok(())
    }

    fn handle_progress(
        &mut self,
        attempt_slot: Slot,
        fields: &ReplyFields<'_>,
        context: &mut Context,
    ) -> Result<(), EngineProtocolError> {
        let Some(attempt) = self.attempts.get(attempt_slot) else { return Ok(()) };
        let progress = fields.progress()?;
        context.counters.count("progress_updates");
        let event = PoolEvent::Progress { request: attempt.request, attempt: attempt.number, progress };
        self.events.push_back(event);
        Ok(())
    }

    /// Ends an attempt once all pages of its result have arrived. Until then, limits the attempt's deadline to the time
    /// by which the next page must arrive.
    fn end_if_result_complete(&mut self, attempt_slot: Slot, context: &mut Context) {
        let Some(attempt) = self.attempts.get_mut(attempt_slot) else { return };
        let Some(result) = &attempt.result else { return };
        if !result.is_complete() {
            let page_due = context.now() + self.connect_timeout * REPLY_TIMEOUT_RATIO;
            context.timers.clear(attempt.deadline, Timer::AttemptDeadline(attempt_slot));
            attempt.deadline = attempt.deadline.min(page_due);
            context.timers.set(attempt.deadline, Timer::AttemptDeadline(attempt_slot));
            return;
        }
        let body = result.body();
        self.end_with_body(attempt_slot, AttemptOutcome::Succeeded, Some(body), None, context);
    }
}

/// Whether a reply to a cancelled attempt is ignored. A result in a single page is used, since the engine sent it
/// before it read the cancellation.
fn is_ignored_after_cancel(kind: &ReplyKind, fields: &ReplyFields<'_>) -> Result<bool, EngineProtocolError> {
    match kind {
        ReplyKind::Progress => Ok(true),
        ReplyKind::Result => Ok(fields.page_count()? > 1),
        _ => Ok(false),
    }
}

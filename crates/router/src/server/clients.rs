//! Connections of clients: accepting and closing them, and reading their lines.

use super::{ClosedClient, Server};
use crate::clients::{ClientInput, IdleCheck, ReadOutcome};
use crate::dispatch::{Dispatcher, RequestOutcome};
use crate::gate::{self, CloseReason};
use crate::jsonrpc::{self, RequestError, RequestErrorKind};
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{Actions, RequestId};
use std::time::Duration;

impl Server {
    /// Registers a client's new connection, of which nothing was read yet.
    pub fn accept_client(&mut self) -> Slot {
        let Dispatcher { clients, context, .. } = &mut self.dispatcher;
        let slot = clients.table.next();
        let due = clients.admit(context.now());
        context.timers.set(due, Timer::Client(slot));
        context.counters.count("clients_admitted");
        slot
    }

    /// Whether a client's request under this id is open.
    pub fn has_open_request(&self, client: Slot, id: u64) -> bool {
        self.dispatcher.clients.table.get(client).is_some_and(|client| client.open.contains_key(&id))
    }

    /// Reads and handles the next line of a client; returns whether more may follow at once. What is read now was
    /// received at `received_since` at the earliest; `has_failed` tells whether the socket has an error.
    pub fn read_client_line(
        &mut self,
        slot: Slot,
        received_since: Duration,
        socket: &mut impl ClientInput,
        has_failed: impl Fn() -> bool,
    ) -> bool {
        let now = self.dispatcher.context.now();
        match self.dispatcher.clients.read_line(slot, now, received_since, socket, has_failed) {
            ReadOutcome::Line { line, received_at } => {
                self.handle_line(slot, &line, now.saturating_sub(received_at))
            }
            ReadOutcome::Discarded => {}
            ReadOutcome::TooLong => {
                self.reject_line(slot, RequestError::new(None, RequestErrorKind::LineTooLong))
            }
            ReadOutcome::EndOfInput => self.clients_departed(Vec::new(), vec![slot]),
            ReadOutcome::Closed => {
                self.close_client(slot, CloseReason::Fault, "reset or closed by the client");
                return false;
            }
            ReadOutcome::Pending => return false,
        }
        true
    }

    /// Handles a line that was received `waited` ago, after the withdrawals that stand behind it.
    fn handle_line(&mut self, slot: Slot, line: &[u8], waited: Duration) {
        let withdrawals = self.dispatcher.clients.find_withdrawals(slot);
        let withdrawn: Vec<_> =
            withdrawals.iter().filter_map(|withdrawal| self.find_open_request(slot, withdrawal)).collect();
        if !withdrawn.is_empty() {
            self.clients_departed(withdrawn, Vec::new());
        }
        if let Err(error) = self.handle_message(slot, line, waited) {
            self.reject_line(slot, error);
        }
        self.process_events();
    }

    /// Answers a line that is no proper request with an error.
    pub(super) fn reject_line(&mut self, slot: Slot, error: RequestError) {
        let (id, message) = (error.id, error.to_string());
        self.dispatcher.context.counters.count("client_input_refused");
        log::debug!("client line refused: client={slot:?} id={id:?} error={message:?}");
        self.dispatcher.clients.send_line(slot, &jsonrpc::error_line(id, error.code(), &message, None));
    }

    /// Scans what clients have sent, received at `received_since` at the earliest, for withdrawals and for the end
    /// of their input. Done for all of them before anything else is handled, so that nothing is dispatched for a
    /// client that has stopped waiting.
    pub fn scan_clients<R: ClientInput>(
        &mut self,
        received_since: Duration,
        clients: impl IntoIterator<Item = (Slot, R)>,
    ) {
        let now = self.dispatcher.context.now();
        let mut withdrawn = Vec::new();
        let mut ended = Vec::new();
        let mut closed = Vec::new();
        for (slot, mut socket) in clients {
            let scan = self.dispatcher.clients.scan_ahead(slot, now, received_since, &mut socket);
            let named = scan.withdrawn.iter().filter_map(|named| self.find_open_request(slot, named));
            withdrawn.extend(named);
            ended.extend(scan.ended.then_some(slot));
            closed.extend(scan.closed.then_some(slot));
        }
        for slot in closed {
            withdrawn.extend(self.remove_client(slot, "reset or closed by the client"));
        }
        if !withdrawn.is_empty() || !ended.is_empty() {
            self.clients_departed(withdrawn, ended);
        }
    }

    /// Closes requests that are withdrawn. The clients in `ended` have closed their side and may not wait any
    /// more: their queued requests are rejected, and what was sent to an engine is awaited but not resent.
    pub(super) fn clients_departed(&mut self, mut withdrawn: Vec<RequestId>, ended: Vec<Slot>) {
        let now = self.dispatcher.context.now();
        withdrawn
            .retain(|request| self.dispatcher.close_request(*request, RequestOutcome::Withdrawn).is_some());
        let ended_clients = ended.iter().filter_map(|slot| self.dispatcher.clients.table.get(*slot));
        let open: Vec<RequestId> = ended_clients.flat_map(|client| client.open.values().copied()).collect();
        for request in &open {
            self.forbid_resending(*request);
        }
        let (queued, accepted): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|request| self.is_in_admission_queue(*request));
        for request in queued {
            self.dispatcher.reject(request, None);
        }
        self.scheduler.clients_left(now, &withdrawn, &accepted, &mut self.dispatcher);
        self.process_events();
    }

    /// Keeps a request's attempts from being written to another connection.
    fn forbid_resending(&mut self, request: RequestId) {
        let Dispatcher { requests, engines, context, .. } = &mut self.dispatcher;
        if let Some(request) = requests.get(request) {
            for attempt in &request.attempts {
                engines.disable_resend(*attempt, context);
            }
        }
    }

    fn is_in_admission_queue(&self, request: RequestId) -> bool {
        self.admission_queue.as_ref().is_some_and(|queue| queue.contains(request))
    }

    /// Closes clients to which nothing more is owed, and those that read too little of their answers.
    pub fn close_finished_clients(&mut self) {
        for slot in std::mem::take(&mut self.dispatcher.clients.maybe_finished) {
            if self.dispatcher.clients.is_finished(slot) {
                self.close_client(slot, CloseReason::Finished, "finished");
            }
        }
        while let Some(slot) = self.dispatcher.clients.slowest_reader() {
            self.dispatcher.context.counters.count("clients_too_slow");
            self.close_client(slot, CloseReason::Fault, "reads its answers too slowly");
        }
    }

    /// Closes a client that was idle for too long or stopped within a line, else sets its timer again.
    pub(super) fn client_timer_expired(&mut self, slot: Slot, now: Duration) {
        // It may have been closed by what was read just before.
        if self.dispatcher.clients.table.get(slot).is_none() {
            return;
        }
        match self.dispatcher.clients.check_idle(slot, now) {
            IdleCheck::CheckAgain(due) => self.dispatcher.context.timers.set(due, Timer::Client(slot)),
            IdleCheck::Stalled => {
                self.dispatcher.context.counters.count("clients_stalled");
                self.reject_line(slot, RequestError::new(None, RequestErrorKind::LineIncomplete));
                self.close_client(slot, CloseReason::Fault, "stopped within a line");
            }
            IdleCheck::Idle => {
                self.dispatcher.context.counters.count("clients_idle");
                self.close_client(slot, CloseReason::Idle, "idle");
            }
        }
    }

    /// Closes a client's connection, if the gate lets it; its open requests are withdrawn.
    pub fn close_client(&mut self, slot: Slot, cause: CloseReason, reason: &str) {
        let Some(client) = self.dispatcher.clients.table.get(slot) else { return };
        if !gate::may_close(cause, client.open.len()) {
            log::error!("client not closed: client={slot:?} reason={reason:?} {}", client.summary());
            return self.dispatcher.context.counters.must(false, "invariant_violations");
        }
        let open = self.remove_client(slot, reason);
        if !open.is_empty() {
            self.clients_departed(open, Vec::new());
        }
    }

    /// Removes a client's connection; returns the requests that were open on it.
    fn remove_client(&mut self, slot: Slot, reason: &str) -> Vec<RequestId> {
        let Some(client) = self.dispatcher.clients.take(slot) else { return Vec::new() };
        log::debug!("client closed: client={slot:?} reason={reason:?} {}", client.summary());
        self.dispatcher.context.timers.clear(client.due, Timer::Client(slot));
        self.closed_clients.push(ClosedClient { slot, output: client.output });
        client.open.into_values().collect()
    }
}

//! Connections of clients: registers and closes them, reads their lines, and closes requests that were cancelled.

use super::{ClosedClient, Server};
use crate::clients::{ClientInput, IdleCheck, ReadOutcome};
use crate::dispatch::{Dispatcher, RequestOutcome};
use crate::final_checks::{self, CloseReason};
use crate::jsonrpc::{self, RequestError, RequestErrorKind};
use crate::slots::Slot;
use crate::timers::Timer;
use emberflow::{Actions, RequestId};
use std::time::Duration;

impl Server {
    /// Registers a new connection of a client, and returns its slot.
    pub fn accept_client(&mut self) -> Slot {
        let Dispatcher { clients, context, .. } = &mut self.dispatcher;
        let slot = clients.table.next_slot();
        let check_due = clients.admit(context.now());
        context.timers.set(check_due, Timer::ClientIdleCheck(slot));
        context.counters.count("clients_admitted");
        slot
    }

    /// Whether a client has an open request with this message id.
    pub fn has_open_request(&self, client: Slot, id: u64) -> bool {
        self.dispatcher.clients.table.get(client).is_some_and(|client| client.open_requests.contains_key(&id))
    }

    /// Reads and handles the next line of a client. Returns whether more input may be available. The input that is read
    /// now was received at `received_since` at the earliest. `has_failed` returns whether the socket has an error.
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
            ReadOutcome::EndOfInput => self.stop_unwanted_work(Vec::new(), vec![slot]),
            ReadOutcome::Closed => {
                self.close_client(slot, CloseReason::Disconnected);
                return false;
            }
            ReadOutcome::Pending => return false,
        }
        true
    }

    /// Handles a line that was received `waited` ago. Cancellations in the client's later lines take effect first, so
    /// that no attempt is sent for a cancelled request.
    fn handle_line(&mut self, slot: Slot, line: &[u8], waited: Duration) {
        let mut cancelled = Vec::new();
        for cancellation in self.dispatcher.clients.new_cancellations(slot) {
            cancelled.extend(self.find_open_request(slot, &cancellation));
        }
        if !cancelled.is_empty() {
            self.stop_unwanted_work(cancelled, Vec::new());
        }
        if let Err(error) = self.handle_message(slot, line, waited) {
            self.reject_line(slot, error);
        }
        self.process_events();
    }

    /// Answers an invalid line with an error.
    pub(super) fn reject_line(&mut self, slot: Slot, error: RequestError) {
        let (id, message) = (error.id, error.to_string());
        self.dispatcher.context.counters.count("client_input_refused");
        log::debug!("client line rejected: client={slot:?} id={id:?} error={message:?}");
        self.dispatcher.clients.send_line(slot, &jsonrpc::error_line(id, error.code(), &message, None));
    }

    /// Scans the unread input of clients, received at `received_since` at the earliest, for cancellations and for the
    /// end of the input. The caller must scan all clients before it handles other events, so that no attempt is sent
    /// for a client that no longer waits for the result.
    pub fn scan_clients<R: ClientInput>(
        &mut self,
        received_since: Duration,
        clients: impl IntoIterator<Item = (Slot, R)>,
    ) {
        let now = self.dispatcher.context.now();
        let mut cancelled = Vec::new();
        let mut ended = Vec::new();
        let mut closed = Vec::new();
        for (slot, mut socket) in clients {
            let scan = self.dispatcher.clients.scan_ahead(slot, now, received_since, &mut socket);
            for cancellation in &scan.cancellations {
                cancelled.extend(self.find_open_request(slot, cancellation));
            }
            ended.extend(scan.input_ended.then_some(slot));
            closed.extend(scan.connection_failed.then_some(slot));
        }
        for slot in closed {
            cancelled.extend(self.remove_client(slot, CloseReason::Disconnected));
        }
        if !cancelled.is_empty() || !ended.is_empty() {
            self.stop_unwanted_work(cancelled, ended);
        }
    }

    /// Closes the `cancelled` requests, and starts no new work for the clients in `ended`, which have ended their input
    /// and may have disconnected. Queued requests of those clients are rejected. Their attempts continue, but are not
    /// resent.
    pub(super) fn stop_unwanted_work(&mut self, mut cancelled: Vec<RequestId>, ended: Vec<Slot>) {
        let now = self.dispatcher.context.now();
        cancelled
            .retain(|request| self.dispatcher.close_request(*request, RequestOutcome::Cancelled).is_some());
        let mut queued = Vec::new();
        let mut accepted = Vec::new();
        for request in self.open_requests_of(&ended) {
            self.forbid_resending(request);
            if self.is_in_admission_queue(request) {
                queued.push(request);
            } else {
                accepted.push(request);
            }
        }
        for request in queued {
            self.dispatcher.reject(request, None);
        }
        self.scheduler.clients_left(now, &cancelled, &accepted, &mut self.dispatcher);
        self.process_events();
    }

    fn open_requests_of(&self, clients: &[Slot]) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for slot in clients {
            if let Some(client) = self.dispatcher.clients.table.get(*slot) {
                requests.extend(client.open_requests.values().copied());
            }
        }
        requests
    }

    /// Prevents the calls of a request's attempts from being written again on another connection.
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

    /// Closes clients that have ended their input and received all answers. Closes the slowest readers while the unsent
    /// output exceeds its limit.
    pub fn close_finished_clients(&mut self) {
        for slot in std::mem::take(&mut self.dispatcher.clients.maybe_finished) {
            if self.dispatcher.clients.is_finished(slot) {
                self.close_client(slot, CloseReason::Finished);
            }
        }
        while let Some(slot) = self.dispatcher.clients.slowest_reader() {
            self.dispatcher.context.counters.count("clients_too_slow");
            self.close_client(slot, CloseReason::SlowReader);
        }
    }

    /// Closes a client that was idle for too long or left a line incomplete. Otherwise schedules the next check.
    pub(super) fn client_timer_expired(&mut self, slot: Slot, now: Duration) {
        // The event loop has just read the client, which may have closed it.
        if self.dispatcher.clients.table.get(slot).is_none() {
            return;
        }
        match self.dispatcher.clients.check_idle(slot, now) {
            IdleCheck::CheckAgain(check_due) => {
                self.dispatcher.context.timers.set(check_due, Timer::ClientIdleCheck(slot))
            }
            IdleCheck::Stalled => {
                self.dispatcher.context.counters.count("clients_stalled");
                self.reject_line(slot, RequestError::new(None, RequestErrorKind::LineIncomplete));
                self.close_client(slot, CloseReason::LineIncomplete);
            }
            IdleCheck::Idle => {
                self.dispatcher.context.counters.count("clients_idle");
                self.close_client(slot, CloseReason::Idle);
            }
        }
    }

    /// Closes a client's connection and its open requests, if [`final_checks::may_close`] allows it.
    pub fn close_client(&mut self, slot: Slot, reason: CloseReason) {
        let Some(client) = self.dispatcher.clients.table.get(slot) else { return };
        if !final_checks::may_close(reason, client.open_requests.len()) {
            log::error!(
                "client not closed, since it has open requests: client={slot:?} reason={reason:?} {}",
                client.summary()
            );
            return self.dispatcher.context.counters.check_invariant(false, "invariant_violations");
        }
        let open_requests = self.remove_client(slot, reason);
        if !open_requests.is_empty() {
            self.stop_unwanted_work(open_requests, Vec::new());
        }
    }

    /// Removes a client's connection; returns the requests that were open on it.
    fn remove_client(&mut self, slot: Slot, reason: CloseReason) -> Vec<RequestId> {
        let Some(client) = self.dispatcher.clients.remove(slot) else { return Vec::new() };
        log::debug!("client closed: client={slot:?} reason={reason:?} {}", client.summary());
        self.dispatcher.context.timers.clear(client.check_due, Timer::ClientIdleCheck(slot));
        self.closed_clients.push(ClosedClient { slot, output: client.output });
        client.open_requests.into_values().collect()
    }
}

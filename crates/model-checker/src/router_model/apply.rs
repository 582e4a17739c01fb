//! Applies transitions of the router model, and checks the answers that clients read and the calls that engines receive.

mod clients;
mod engines;

use super::scenario::{RouterScenario, STALL};
use super::state::{Event, RouterState, endpoint_record};
use super::transition::Transition;
use crate::invariants::first_violated;
use crate::wire::{Peer, execute_pool_commands};
use emberflow::{EndpointUpdate, Lifecycle};
use emberflow_router::discovery::{EndpointEvent, EndpointRecord};
use emberflow_router::server::ClosedClient;

/// Returns the state that a transition leads to.
pub fn apply(scenario: &RouterScenario, state: &RouterState, transition: Transition) -> RouterState {
    let mut applier =
        TransitionApplier { scenario, state: state.clone(), acting_client: acting_client(transition) };
    applier.apply(transition);
    applier.run_until_idle();
    applier.state.server.close_finished_clients();
    applier.run_until_idle();
    applier.state
}

/// Returns the client that sends input or closes its connection in a transition; `None` for transitions without input
/// of a client.
fn acting_client(transition: Transition) -> Option<usize> {
    match transition {
        Transition::SendLine { client, .. }
        | Transition::SendRest { client }
        | Transition::CloseWriteSide { client }
        | Transition::ResetClient { client } => Some(client),
        _ => None,
    }
}

/// Applies one transition to a copy of a state.
struct TransitionApplier<'a> {
    scenario: &'a RouterScenario,
    state: RouterState,
    /// The client that sends input or closes its connection in the transition.
    acting_client: Option<usize>,
}

impl TransitionApplier<'_> {
    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::SendLine { client, line } => self.send_line(client, line),
            Transition::SendRest { client } => self.send_rest(client),
            Transition::CloseWriteSide { client } => self.close_write_side(client),
            Transition::ResetClient { client } => self.reset_client(client),
            Transition::ResumeReading { client } => self.resume_reading(client),
            Transition::Connect { connection } => self.connect(connection),
            Transition::Refuse { connection } => self.refuse(connection),
            Transition::AnswerResult { connection, call } => self.answer_result(connection, call),
            Transition::AnswerOverloaded { connection, call } => self.answer_overloaded(connection, call),
            Transition::AnswerFailed { connection, call } => self.answer_failed(connection, call),
            Transition::AnswerPing { connection } => self.answer_ping(connection),
            Transition::ResetConnection { connection } => self.reset_connection(connection),
            Transition::DrainEngine => self.drain_engine(),
            Transition::Terminate => self.terminate(),
            Transition::PassTime => self.pass_time(),
            Transition::Stall => self.stall(),
        }
    }

    /// Checks the invariants at an event, before the event changes the state.
    fn check(&mut self, event: &Event) {
        let violated_invariant =
            self.state.violated_invariant.or_else(|| first_violated(self.scenario, &self.state, event));
        self.state.violated_invariant = violated_invariant;
    }

    fn drain_engine(&mut self) {
        self.state.is_draining = true;
        let draining = EndpointRecord { lifecycle: Lifecycle::Draining, ..endpoint_record(0) };
        let event = EndpointEvent { update: EndpointUpdate::Changes, endpoints: vec![draining] };
        self.state.server.endpoints_changed(&event);
    }

    fn terminate(&mut self) {
        self.state.is_terminating = true;
        self.state.server.begin_shutdown();
    }

    fn stall(&mut self) {
        let to = self.state.now + STALL;
        self.check(&Event::TimePasses { to });
        self.state.stalls += 1;
        self.state.now = to;
        self.state.server.context().now = to;
    }

    fn pass_time(&mut self) {
        let now = self.state.now;
        let to = self.state.server.context().timers.next_expiry().map_or(now, |at| at.max(now));
        self.check(&Event::TimePasses { to });
        self.state.now = to;
        self.state.server.context().now = to;
        while let Some(due) = self.state.server.context().timers.pop(to) {
            self.state.server.timer_expired(due);
            self.run_until_idle();
        }
    }

    /// Executes the commands and pending writes of the server and closes connections, as the router's event loop
    /// does, until nothing is left to do.
    fn run_until_idle(&mut self) {
        loop {
            self.state.server.process_events();
            let engines = &mut self.state.server.dispatcher.engines;
            let mut is_active =
                execute_pool_commands(&mut engines.commands, &mut self.state.engine_peers, Peer::default);
            for connection in std::mem::take(&mut engines.pending_writes) {
                is_active = true;
                self.flush_to_engine(connection);
            }
            for slot in std::mem::take(&mut self.state.server.dispatcher.clients.pending_writes) {
                is_active = true;
                self.flush_to_client(slot);
            }
            for ClosedClient { slot, output: mut unread } in
                std::mem::take(&mut self.state.server.closed_clients)
            {
                is_active = true;
                let mut bytes = Vec::new();
                unread.write_to(&mut bytes).expect("a write to a vector does not fail");
                self.close_client(slot, &bytes);
            }
            if !is_active {
                return;
            }
        }
    }
}

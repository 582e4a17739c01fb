//! The engines of the router model: the calls that they receive and the replies that they send.

use super::super::state::{CallRecord, Event, ResultRecord};
use super::TransitionApplier;
use crate::wire::{ScriptedInput, pong, take_commands};
use emberflow_peer_protocol::engine::{EngineCommand, EngineReply};
use emberflow_peer_protocol::request_id;
use emberflow_router::dispatch::Dispatcher;
use emberflow_router::engine_pool::Reachability;
use emberflow_router::slots::Slot;

/// The base of the digits of a request id.
const REQUEST_ID_RADIX: u32 = 16;

impl TransitionApplier<'_> {
    pub(super) fn connect(&mut self, connection: Slot) {
        self.state.engine_peers.entry(connection).and_modify(|peer| peer.is_connected = true);
        let Dispatcher { engines, context, .. } = &mut self.state.server.dispatcher;
        engines.connection_established(connection, context);
    }

    pub(super) fn refuse(&mut self, connection: Slot) {
        self.state.faults += 1;
        let Dispatcher { engines, context, .. } = &mut self.state.server.dispatcher;
        engines.dial_failed(connection, Reachability::Unreachable, "refused", context);
    }

    pub(super) fn answer_result(&mut self, connection: Slot, call: usize) {
        let request_number = self.state.calls[call].request_number;
        let rows = format!("request {request_number}\tcall {call}\tx\n");
        self.answer(connection, call, &EngineReply::Result { pages: 1, used: None, rows: rows.as_bytes() });
        self.state.results.push(ResultRecord { request_number, rows });
    }

    pub(super) fn answer_overloaded(&mut self, connection: Slot, call: usize) {
        self.state.calls[call].may_have_run = false;
        self.answer(connection, call, &EngineReply::Overloaded);
    }

    pub(super) fn answer_failed(&mut self, connection: Slot, call: usize) {
        self.answer(connection, call, &EngineReply::Failed);
    }

    fn answer(&mut self, connection: Slot, call: usize, reply: &EngineReply<'_>) {
        let record = &mut self.state.calls[call];
        record.has_ended = true;
        let bytes = reply.encode(&request_id(record.request_number));
        self.deliver_to_pool(connection, ScriptedInput::bytes(bytes));
    }

    pub(super) fn answer_ping(&mut self, connection: Slot) {
        self.state.engine_peers.entry(connection).and_modify(|peer| peer.unanswered_pings -= 1);
        self.deliver_to_pool(connection, ScriptedInput::bytes(pong()));
    }

    pub(super) fn reset_connection(&mut self, connection: Slot) {
        self.state.faults += 1;
        for call in self.state.calls.iter_mut().filter(|call| call.connection == connection) {
            call.has_ended = true;
        }
        self.deliver_to_pool(connection, ScriptedInput::reset());
    }

    /// Passes the input of an engine connection to the engine pool.
    fn deliver_to_pool(&mut self, connection: Slot, mut input: ScriptedInput) {
        let Dispatcher { engines, context, .. } = &mut self.state.server.dispatcher;
        engines.read(connection, &mut input, context);
    }

    /// Writes the pending output of a connection to its engine, which reads the complete commands.
    pub(super) fn flush_to_engine(&mut self, connection: Slot) {
        self.state.server.end_lapsed_attempts(connection);
        let Some(peer) = self.state.engine_peers.get_mut(&connection) else { return };
        let Dispatcher { engines, context, .. } = &mut self.state.server.dispatcher;
        engines.flush(connection, peer, context).expect("a write to a peer without a limit does not fail");
        for command in take_commands(&mut peer.inbox) {
            self.receive_command(connection, &command);
        }
    }

    fn receive_command(&mut self, connection: Slot, command: &EngineCommand) {
        match command {
            EngineCommand::Call(call) => {
                let request_number = number_of(&call.request_id);
                self.check(&Event::CallArrives { request_number });
                let request = self.state.open_request(request_number);
                self.state.calls.push(CallRecord {
                    request_number,
                    request,
                    connection,
                    arrived_at: self.state.now,
                    has_ended: false,
                    may_have_run: true,
                });
            }
            EngineCommand::Ping { .. } => {
                self.state.engine_peers.entry(connection).and_modify(|peer| peer.unanswered_pings += 1);
            }
            // An engine never answers a cancelled call.
            EngineCommand::Cancel { request_id } => {
                let cancelled = number_of(request_id);
                for call in &mut self.state.calls {
                    call.has_ended |= call.request_number == cancelled && call.connection == connection;
                }
            }
            _ => {}
        }
    }
}

/// Returns the number that a request id encodes; `u64::MAX`, which no request has, for a malformed id.
fn number_of(request_id: &str) -> u64 {
    u64::from_str_radix(request_id, REQUEST_ID_RADIX).unwrap_or(u64::MAX)
}

//! The engines of a scenario.

use crate::scenario::Scenario;
use crate::streams::{LimitedSink, ReceivedBytes, StreamEnd};
use emberflow_peer_protocol::resp::take_array;
use emberflow_router::dispatch::Dispatcher;
use emberflow_router::engine_pool::Reachability;
use emberflow_router::resp;
use emberflow_router::slots::Slot;

/// An engine's side of a connection.
#[derive(Default)]
pub struct Connection {
    pub number: u64,
    pub is_established: bool,
    /// Bytes that the engine has sent and the server has not received yet.
    pending_input: Vec<u8>,
    received: Vec<u8>,
    /// The names of the requests that run on the engine.
    calls: Vec<String>,
}

impl Connection {
    /// Returns a connection that is not established yet.
    pub fn new(number: u64) -> Self {
        Self { number, ..Self::default() }
    }
}

/// A reply of an engine to a call.
struct EngineReply {
    reply_type: &'static str,
    fields: String,
    body: String,
    /// Whether the engine sends nothing more for the call.
    ends_call: bool,
}

impl EngineReply {
    fn last(reply_type: &'static str, fields: String, body: String) -> Self {
        Self { reply_type, fields, body, ends_call: true }
    }

    fn partial(reply_type: &'static str, fields: String, body: String) -> Self {
        Self { reply_type, fields, body, ends_call: false }
    }

    fn progress(fields: String) -> Self {
        Self::partial("INFO", fields, String::new())
    }
}

impl Scenario<'_> {
    fn pick_connection(&mut self, is_established: bool) -> Option<Slot> {
        let connections = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_established == is_established)
            .map(|(slot, _)| *slot);
        let connections: Vec<Slot> = connections.collect();
        (!connections.is_empty()).then(|| self.random.pick(&connections))
    }

    pub fn connection_is_established(&mut self) {
        let Some(slot) = self.pick_connection(false) else { return };
        let refused = self.random.one_in(8);
        let reachability =
            if self.random.one_in(2) { Reachability::Reachable } else { Reachability::Unreachable };
        let dispatcher = &mut self.server.dispatcher;
        if refused {
            dispatcher.engines.dial_failed(slot, reachability, "refused", &mut dispatcher.context);
            return self.recorder.count("connections refused");
        }
        dispatcher.engines.connection_established(slot, &mut dispatcher.context);
        self.connections.entry(slot).and_modify(|connection| connection.is_established = true);
        self.flush_connection(slot);
    }

    /// Sends an engine's reply to one of its calls. In most cases the complete reply arrives at once.
    pub fn engine_responds(&mut self) {
        let Some(slot) = self.pick_connection(true) else { return };
        let calls = self.connections[&slot].calls.clone();
        if calls.is_empty() {
            return;
        }
        let req = self.random.pick(&calls);
        let EngineReply { reply_type, fields, body, ends_call } = self.draw_reply(&req, calls.len());
        self.recorder.count(format!("engine sends {reply_type}"));
        let mut bytes =
            resp::encode_array(&[req.as_bytes(), reply_type.as_bytes(), fields.as_bytes(), body.as_bytes()]);
        if self.random.one_in(150) {
            bytes = b"*x\r\nnoise\r\n".to_vec();
        }
        if let Some(connection) = self.connections.get_mut(&slot) {
            connection.pending_input.extend(bytes);
            connection.calls.retain(|call| !ends_call || *call != req);
        }
        let is_partial = self.random.one_in(4);
        self.deliver_to_connection(slot, is_partial, StreamEnd::WouldBlock);
    }

    /// Draws a reply to a call: an answer, a page of an answer, an error, progress, or input that is not in the
    /// protocol.
    fn draw_reply(&mut self, req: &str, call_count: usize) -> EngineReply {
        let load = format!(
            "use=util:0.{};inflight:{call_count};queue:{}",
            self.random.below(10),
            self.random.below(4)
        );
        let usage = format!("cost={},need={}", self.random.below(40), self.random.below(600));
        let row = format!("row\t{req}\t{}\n", self.random.below(100));
        match self.random.below(40) {
            0..18 => EngineReply::last("HIT", format!("pages=1,{usage},{load}"), row),
            18..21 => EngineReply::partial("HIT", format!("pages=3,{usage}"), row),
            21..25 => EngineReply::last("SHED", load, String::new()),
            25 => EngineReply::last("LATE", load, String::new()),
            26..28 => EngineReply::last("FAULT", load, String::new()),
            28..31 => EngineReply::progress(format!("detail=advance,v=0.{}", self.random.below(10))),
            31 => EngineReply::progress("detail=disk,v=120".into()),
            32 => EngineReply::progress("detail=stall,v=1".into()),
            33 => EngineReply::progress("detail=stall,v=2".into()),
            34..36 => EngineReply::progress(String::new()),
            36 if self.random.one_in(4) => EngineReply::last("HIT", "pages=1".into(), "no columns".into()),
            37 if self.random.one_in(4) => EngineReply::last("DANCE", String::new(), String::new()),
            38 if self.random.one_in(4) => EngineReply::last("HIT", "pages=9999".into(), row),
            39 if self.random.one_in(4) => EngineReply::progress("detail=moon,v=1".into()),
            _ => EngineReply::partial("HIT", "pages=1".into(), row),
        }
    }

    pub fn connection_input_arrives(&mut self, stream_end: StreamEnd) {
        let Some(slot) = self.pick_connection(true) else { return };
        let is_partial = self.random.one_in(4);
        self.deliver_to_connection(slot, is_partial, stream_end);
    }

    fn deliver_to_connection(&mut self, slot: Slot, is_partial: bool, stream_end: StreamEnd) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        let all = connection.pending_input.len();
        let count = if is_partial { self.random.below(all as u64) as usize } else { all };
        let bytes: Vec<u8> = connection.pending_input.drain(..count).collect();
        let dispatcher = &mut self.server.dispatcher;
        dispatcher.engines.read(slot, &mut ReceivedBytes(&bytes, stream_end), &mut dispatcher.context);
    }

    pub fn flush_connection(&mut self, slot: Slot) {
        self.server.end_lapsed_attempts(slot);
        let Some(connection) = self.connections.get_mut(&slot).filter(|connection| connection.is_established)
        else {
            return;
        };
        let is_nearly_full = self.random.one_in(10);
        let mut sink =
            LimitedSink { capacity: if is_nearly_full { 30 } else { usize::MAX }, written: Vec::new() };
        let Dispatcher { engines, context, .. } = &mut self.server.dispatcher;
        engines.flush(slot, &mut sink, context).expect("the sink does not fail");
        if !sink.written.is_empty() {
            self.recorder.record("to engine", connection.number, &sink.written);
        }
        connection.received.extend(sink.written);
        self.engine_handles_commands(slot);
    }

    /// Decodes all complete commands, and replies to those that engines answer at once.
    fn engine_handles_commands(&mut self, slot: Slot) {
        let Some(connection) = self.connections.get_mut(&slot) else { return };
        while let Some(texts) = take_array(&mut connection.received).expect("the server sends RESP") {
            let (command, id) = (texts[0].as_str(), &texts[1]);
            self.recorder.count(format!("engine receives {command}"));
            match command {
                "GET" => {
                    let call_count = self.calls_by_request.entry(id.clone()).or_default();
                    *call_count += 1;
                    if *call_count > 1 {
                        self.recorder.count("attempts retried");
                    }
                    connection.calls.push(id.clone());
                }
                "PAGE" if !self.random.one_in(8) => {
                    let (fields, row) = (format!("page={}", texts[2]), format!("page\t{id}\t{}\n", texts[2]));
                    connection.pending_input.extend(resp::encode_array(&[
                        id.as_bytes(),
                        b"PART",
                        fields.as_bytes(),
                        row.as_bytes(),
                    ]));
                }
                "PING" if !self.random.one_in(8) => {
                    connection.pending_input.extend(resp::encode_array(&[id.as_bytes(), b"PONG", b"-", b""]));
                }
                "DROP" | "CLOSE" if !self.random.one_in(4) => connection.calls.retain(|call| call != id),
                _ => {}
            }
        }
    }
}

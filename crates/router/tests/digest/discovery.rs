//! The discovery service of a scenario.

use crate::scenario::Scenario;

/// Bytes of a frame's event number and kind.
const HEADER_BYTES: u32 = 9;
/// Bytes of an endpoint in a frame.
const RECORD_BYTES: usize = 27;

impl Scenario<'_> {
    pub fn endpoint_list_changes(&mut self) {
        let is_complete = self.random.one_in(3);
        self.send_endpoint_list(is_complete);
        if self.random.one_in(20) {
            self.discovery_input.extend([0, 0, 0, 1]);
        }
        if !self.random.one_in(3) {
            self.deliver_from_discovery(usize::MAX);
        }
    }

    /// Sends a frame with the complete list, or with a change of one engine: draining, removed, restarted or at another
    /// address.
    pub fn send_endpoint_list(&mut self, is_complete: bool) {
        let changed = self.random.below(4) as usize;
        if self.next_event > 1 && self.random.one_in(3) {
            self.up_since_ms[changed] = self.server.dispatcher.context.now().as_millis() as u64;
        }
        let mut records = Vec::new();
        for engine in 0..4 {
            let listed = if is_complete { !self.random.one_in(5) } else { engine == changed };
            if listed {
                let state = if self.next_event == 1 { 0 } else { self.random.pick(&[0, 0, 0, 0, 1, 2]) };
                let port_offset = self.random.below(2) as u8;
                records.extend(encode_record(engine, state, port_offset, self.up_since_ms[engine]));
            }
        }
        let mut frame = Vec::from((HEADER_BYTES + records.len() as u32).to_be_bytes());
        frame.extend(self.next_event.to_be_bytes());
        frame.push(if is_complete { 1 } else { 2 });
        frame.extend(records);
        self.next_event += 1;
        self.discovery_input.extend(frame);
        self.recorder.count(if is_complete { "complete lists" } else { "list changes" });
    }

    pub fn deliver_from_discovery(&mut self, count: usize) {
        let count = count.min(self.discovery_input.len());
        let bytes: Vec<u8> = self.discovery_input.drain(..count).collect();
        self.server.discovery.input.push(&bytes);
        let result = self.server.receive_endpoint_events();
        self.recorder.record("bulletin", self.server.discovery.last_event, &[u8::from(result.is_ok())]);
        if result.is_err() {
            // The router would dial again, and the service would send the complete list.
            self.recorder.count("lists refused");
            self.server.discovery = self.server.discovery.for_new_connection();
            self.discovery_input.clear();
            self.next_event = self.server.discovery.last_event + 1;
            self.send_endpoint_list(true);
        }
    }
}

/// Encodes an endpoint.
fn encode_record(engine: usize, state: u8, port_offset: u8, up_since_ms: u64) -> [u8; RECORD_BYTES] {
    let mut record = [0; RECORD_BYTES];
    record[3] = engine as u8 + 1;
    record[4..8].copy_from_slice(&[127, 0, 0, engine as u8 + 1]);
    record[9] = 9 + port_offset;
    record[10] = state;
    record[11] = engine as u8 % 2;
    record[12] = engine as u8 / 2;
    record[14] = engine as u8;
    record[19..].copy_from_slice(&up_since_ms.to_be_bytes());
    record
}

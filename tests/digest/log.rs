//! The log of all runs: a digest over all entries, and the number of entries of each kind. An entry records an action
//! of the scheduler, an input, or the answer to a query.

use emberflow::*;
use sha2::{Digest, Sha256};
use std::time::Duration;

// The kinds of log entries: the first byte of an entry in the digest, and the index of its count.
pub const SEND: usize = 0;
pub const SET_GRANT_AND_PRIORITY: usize = 1;
pub const CANCEL: usize = 2;
pub const REJECT: usize = 3;
pub const FAIL: usize = 4;
pub const PROBE: usize = 5;
pub const WAKE_AFTER: usize = 6;
pub const WATCH: usize = 7;
pub const FORGET: usize = 8;
pub const ADMITS: usize = 9;
pub const EXPECTED_WORK: usize = 10;
pub const INPUT: usize = 11;
pub const HELD_COUNTS: usize = 12;

/// An action that the simulation carries out after the input that caused the action.
pub enum PendingAction {
    Attempt { request: RequestId, engine: EngineId, timeout_at: Duration },
    Cancel { request: RequestId, attempt: usize },
    Answered(RequestId),
    Probe(EngineId),
    Wake(Duration),
    Forget(EngineId),
}

/// The digest and the counts of all entries, and the actions that are not carried out yet.
#[derive(Default)]
pub struct Log {
    pub digest: Sha256,
    pub counts: [u64; 13],
    pub pending: Vec<PendingAction>,
}

impl Log {
    /// Adds an entry of a kind, with numbers that describe it.
    pub fn add(&mut self, kind: usize, numbers: &[u64]) {
        self.counts[kind] += 1;
        self.digest.update([kind as u8]);
        numbers.iter().for_each(|number| self.digest.update(number.to_le_bytes()));
    }
}

pub fn nanoseconds(time: Duration) -> u64 {
    time.as_nanos() as u64
}

impl Actions for Log {
    fn send(&mut self, request: RequestId, engine: EngineId, limits: SendLimits) {
        let timeout_at = limits.timeout_at;
        self.add(SEND, &[request.0.into(), engine.0 as u64, nanoseconds(timeout_at)]);
        self.pending.push(PendingAction::Attempt { request, engine, timeout_at });
    }
    fn set_grant_and_priority(&mut self, request: RequestId, grant_mb: f64, priority: u8) {
        self.add(SET_GRANT_AND_PRIORITY, &[request.0.into(), grant_mb.to_bits(), priority.into()]);
    }
    fn cancel(&mut self, request: RequestId, attempt: usize) {
        self.add(CANCEL, &[request.0.into(), attempt as u64]);
        self.pending.push(PendingAction::Cancel { request, attempt });
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>) {
        self.add(REJECT, &[request.0.into(), retry_after.map_or(u64::MAX, nanoseconds)]);
        self.pending.push(PendingAction::Answered(request));
    }
    fn fail(&mut self, request: RequestId) {
        self.add(FAIL, &[request.0.into()]);
        self.pending.push(PendingAction::Answered(request));
    }
    fn probe(&mut self, engine: EngineId) {
        self.add(PROBE, &[engine.0 as u64]);
        self.pending.push(PendingAction::Probe(engine));
    }
    fn wake_after(&mut self, wait: Duration) {
        self.add(WAKE_AFTER, &[nanoseconds(wait)]);
        self.pending.push(PendingAction::Wake(wait));
    }
    fn watch_endpoints(&mut self) {
        self.add(WATCH, &[]);
    }
    fn forget(&mut self, engine: EngineId) {
        self.add(FORGET, &[engine.0 as u64]);
        self.pending.push(PendingAction::Forget(engine));
    }
}

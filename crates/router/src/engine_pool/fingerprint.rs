//! Fingerprints of a pool's state, by which the model checker recognizes states that it has already visited.

use super::EnginePool;
use super::attempt::Attempt;
use super::connection::Connection;
use crate::slots::Slot;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Converts times to signed microseconds relative to `now`.
struct RelativeTime {
    now: Duration,
}

impl RelativeTime {
    fn micros(&self, at: Duration) -> i64 {
        at.as_micros() as i64 - self.now.as_micros() as i64
    }
}

impl EnginePool {
    /// Feeds the state to a hasher, with times relative to `now`. States with equal fingerprints behave alike.
    pub fn fingerprint(&self, now: Duration, hasher: &mut impl Hasher) {
        let time = RelativeTime { now };
        let indexes: BTreeMap<Slot, usize> = self.connections.iter().map(|(slot, _)| slot).zip(0..).collect();
        for (engine_id, engine) in &self.engines {
            (engine_id, engine.ready, engine.launched.map(|at| time.micros(at))).hash(hasher);
            engine.connections.iter().for_each(|slot| indexes.get(slot).hash(hasher));
        }
        for (_, connection) in self.connections.iter() {
            connection.fingerprint(&time, hasher);
        }
        for (slot, attempt) in self.attempts.iter() {
            self.fingerprint_attempt(slot, attempt, &indexes, hasher);
            attempt.fingerprint(&time, &indexes, hasher);
        }
    }

    /// Feeds the progress of an attempt on its connection to a hasher.
    fn fingerprint_attempt(
        &self,
        slot: Slot,
        attempt: &Attempt,
        indexes: &BTreeMap<Slot, usize>,
        hasher: &mut impl Hasher,
    ) {
        let connection = attempt.connection.and_then(|connection| self.connections.get(connection));
        let write_has_begun = connection
            .filter(|_| attempt.call_offset.is_some())
            .map(|connection| attempt.write_has_begun(connection.output.front_offset()));
        let queue_position = connection
            .map(|connection| connection.waiting_attempts.iter().position(|waiting| *waiting == slot));
        (attempt.request, attempt.number).hash(hasher);
        attempt.connection.and_then(|assigned| indexes.get(&assigned)).hash(hasher);
        (write_has_begun, queue_position).hash(hasher);
    }
}

impl Connection {
    fn fingerprint(&self, time: &RelativeTime, hasher: &mut impl Hasher) {
        let mut buffered = Vec::new();
        for ring in [&self.input, &self.output] {
            let _ = ring.clone().write_to(&mut buffered);
            buffered.len().hash(hasher);
        }
        buffered.hash(hasher);
        (self.engine, self.state, self.attempts.len(), self.waiting_attempts.len()).hash(hasher);
        if let Some(call) = self.partly_written_call() {
            time.micros(call.limits.timeout_at).hash(hasher);
            call.limits.key_window_end.map(|at| time.micros(at)).hash(hasher);
        }
        let times =
            [Some(self.dialed_at), Some(self.last_reply_at), self.check_due, self.reply_due, self.idle_due];
        times.map(|at| at.map(|at| time.micros(at))).hash(hasher);
    }
}

impl Attempt {
    fn fingerprint(&self, time: &RelativeTime, indexes: &BTreeMap<Slot, usize>, hasher: &mut impl Hasher) {
        time.micros(self.deadline).hash(hasher);
        let key_window_end = self.key_window_end.filter(|_| self.call.is_some());
        key_window_end.map(|at| time.micros(at)).hash(hasher);
        (self.reassigned, self.resend_disabled, self.call.is_none()).hash(hasher);
        self.cancelled_at.map(|at| time.micros(at)).hash(hasher);
        let excluded = self.excluded_connections.iter().filter_map(|connection| indexes.get(connection));
        excluded.for_each(|index| index.hash(hasher));
        self.result.as_ref().map(|result| result.pages()).hash(hasher);
    }
}

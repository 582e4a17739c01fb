//! Who may have something to say, each heard in turn.

use crate::slots::Slot;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

/// Connections that may have more to say than was heard. Each is heard once before one is heard again, however
/// much that one has to say.
#[derive(Default)]
pub struct Ready {
    /// And since when, at the earliest.
    slots: BTreeMap<Slot, Duration>,
    /// Whose turn was last.
    last: Option<Slot>,
}

impl Ready {
    pub fn add(&mut self, slot: Slot, since: Duration) {
        self.slots.entry(slot).and_modify(|at| *at = since.min(*at)).or_insert(since);
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes out whose turn it is, and since when it has waited at the earliest.
    pub fn next(&mut self) -> Option<(Slot, Duration)> {
        let after = self.last.and_then(|last| self.slots.range((Excluded(last), Unbounded)).next());
        let (slot, since) = after.or(self.slots.first_key_value()).map(|(slot, since)| (*slot, *since))?;
        self.slots.remove(&slot);
        self.last = Some(slot);
        Some((slot, since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::slots::Slots;
    use expect_test::expect;

    #[test]
    fn one_who_always_has_more_keeps_nobody_waiting_for_more_than_one_turn() {
        let mut table = Slots::default();
        let slots: Vec<Slot> = (0..4).map(|_| table.insert(())).collect();
        let mut ready = Ready::default();
        let at = Duration::from_millis;
        slots[..3].iter().for_each(|slot| ready.add(*slot, at(1)));
        let mut heard = Vec::new();
        for turn in 0..9 {
            let Some((slot, since)) = ready.next() else { break };
            heard.push(format!("{}@{}", table.place(slot).expect("it stands"), since.as_millis()));
            if slot == slots[1] {
                ready.add(slot, at(turn + 2));
            }
            // One comes, and one again, while the talker speaks on.
            if turn == 4 {
                ready.add(slots[3], at(8));
                ready.add(slots[3], at(7));
                ready.add(slots[0], at(9));
            }
        }
        expect!["0@1 1@1 2@1 1@3 1@5 3@7 0@9 1@6 1@9"].assert_eq(&heard.join(" "));
    }
}

//! The turns of those that may have more to say.

use super::*;
use crate::slots::Slots;
use expect_test::expect;

#[test]
fn one_who_always_has_more_keeps_nobody_waiting_for_more_than_one_turn() {
    let mut table = Slots::default();
    let slots: Vec<Slot> = (0..4).map(|_| table.insert(())).collect();
    let mut ready = ReadyList::default();
    let at = Duration::from_millis;
    slots[..3].iter().for_each(|slot| ready.add(*slot, at(1)));
    let mut heard = Vec::new();
    for turn in 0..9 {
        let Some(ReadyClient { slot, received_since }) = ready.next() else { break };
        heard.push(format!("{}@{}", table.place(slot).expect("it stands"), received_since.as_millis()));
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

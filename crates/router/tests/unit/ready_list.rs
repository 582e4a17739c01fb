//! Tests of the order in which clients with unread input are read.

use super::{ReadyClient, ReadyList};
use crate::slots::{Slot, SlotMap};
use expect_test::expect;
use std::time::Duration;

#[test]
fn a_client_with_endless_input_delays_others_by_one_line_at_most() {
    let mut table = SlotMap::default();
    let slots: Vec<Slot> = (0..4).map(|_| table.insert(())).collect();
    let mut ready = ReadyList::default();
    let ms = Duration::from_millis;
    slots[..3].iter().for_each(|slot| ready.add(*slot, ms(1)));
    let mut served = Vec::new();
    for round in 0..9 {
        let Some(ReadyClient { slot, received_since }) = ready.next() else { break };
        served.push(format!(
            "{}@{}",
            table.position_of(slot).expect("no row was removed"),
            received_since.as_millis()
        ));
        if slot == slots[1] {
            ready.add(slot, ms(round + 2));
        }
        // A new client and an earlier one become ready while the second still has input.
        if round == 4 {
            ready.add(slots[3], ms(8));
            ready.add(slots[3], ms(7));
            ready.add(slots[0], ms(9));
        }
    }
    expect!["0@1 1@1 2@1 1@3 1@5 3@7 0@9 1@6 1@9"].assert_eq(&served.join(" "));
}

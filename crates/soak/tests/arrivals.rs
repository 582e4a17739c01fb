//! Arrival times of the bytes that a connection has received.

use emberflow_soak::arrivals::Arrivals;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_message_arrives_with_its_last_byte() {
    let mut arrivals = Arrivals::default();
    arrivals.record_received(10, ms(1));
    arrivals.record_received(0, ms(2));
    arrivals.record_received(10, ms(3));
    let consumed = [4, 6, 1, 4].map(|count| arrivals.consume(count));
    assert_eq!(consumed, [ms(1), ms(1), ms(3), ms(3)]);
    arrivals.record_received(5, ms(4));
    arrivals.record_received(1, ms(5));
    assert_eq!([arrivals.consume(10), arrivals.consume(1)], [ms(4), ms(5)]);
}

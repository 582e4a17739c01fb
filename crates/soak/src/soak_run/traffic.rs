//! The traffic of a run: requests of random classes at random times. Some clients stop waiting for the answer.

use super::SoakRun;
use super::timers::Timer;
use crate::classes::RequestClass;
use crate::clients::Destination;
use crate::routers::RouterPhase;
use rand::Rng;
use rand_distr::{Distribution, Exp};
use std::ops::Range;
use std::time::Duration;

/// Factor of the request rate during a burst.
const BURST_FACTOR: f64 = 4.0;
/// Time between two requests if the rate is invalid, in seconds.
const FALLBACK_INTERVAL_S: f64 = 1.0;
/// Fraction of requests that their clients cancel, unless the answer arrives first.
const CANCELLED_FRACTION: f64 = 0.04;
/// Fraction of requests whose clients close the connection, unless the answer arrives first.
const CLOSED_FRACTION: f64 = 0.02;
/// Time until a client stops waiting, as a fraction of the request's deadline.
const DEPARTURE_TIMES: Range<f64> = 0.0..0.8;

impl SoakRun {
    /// Schedules the next request to a router, and sends one if the router accepts connections.
    pub(super) fn send_request(&mut self, router: usize, now: Duration) {
        self.schedule_next_request(router, now);
        let accepts_connections = match self.routers[router].phase {
            RouterPhase::Serving | RouterPhase::ShuttingDown | RouterPhase::Stopped => true,
            RouterPhase::Starting | RouterPhase::Down => false,
        };
        if !accepts_connections {
            return;
        }
        let class = self.draw_class();
        let destination = Destination { router, address: self.routers[router].address };
        let registry = self.poll.registry();
        let sent = self.clients.send_request(destination, class, now, registry, &mut self.records);
        if let Some(request_id) = sent {
            self.draw_departure(request_id, class, now);
        }
    }

    fn schedule_next_request(&mut self, router: usize, now: Duration) {
        let is_burst = now < self.burst_until[router];
        let rate = self.options.rate * if is_burst { BURST_FACTOR } else { 1.0 };
        let interval_s =
            Exp::new(rate).map_or(FALLBACK_INTERVAL_S, |exponential| exponential.sample(&mut self.rng));
        let next = now + Duration::from_secs_f64(interval_s);
        if next < self.traffic_end {
            self.timers.set(next, Timer::SendRequest { router });
        }
    }

    /// Draws whether and when the client of a request stops waiting.
    fn draw_departure(&mut self, request_id: String, class: RequestClass, now: Duration) {
        let waiting_time = class.profile().deadline.mul_f64(self.rng.random_range(DEPARTURE_TIMES));
        let fraction: f64 = self.rng.random();
        if fraction < CANCELLED_FRACTION {
            self.timers.set(now + waiting_time, Timer::CancelRequest { request_id });
        } else if fraction < CANCELLED_FRACTION + CLOSED_FRACTION {
            self.timers.set(now + waiting_time, Timer::CloseConnection { request_id });
        }
    }

    /// Draws a class by its share of the traffic.
    fn draw_class(&mut self) -> RequestClass {
        let mut remaining: f64 = self.rng.random();
        for class in RequestClass::ALL {
            remaining -= class.profile().traffic_share;
            if remaining <= 0.0 {
                return class;
            }
        }
        // A rounding error may make the sum of the shares smaller than 1.
        RequestClass::Lookup
    }
}

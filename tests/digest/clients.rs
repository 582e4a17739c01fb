//! The clients of a run.

use crate::log::{ADMITS, EXPECTED_WORK, nanoseconds};
use crate::simulation::{ClientRequest, Event, Simulation, ms};
use emberflow::{Arrival, KeyId, RequestId};
use std::collections::BTreeSet;

impl Simulation {
    fn arrival(&mut self) -> Arrival {
        let random = &mut self.random;
        let class = random.below(self.classes.len());
        let (deadline, _) = self.classes[class];
        let is_retry = random.percent(15);
        let has_estimates = random.percent(self.environment.estimate_percent);
        let memory = random.one_of(&[5.0, 40.0, 300.0, 1200.0, 4000.0]) * random.between(0.5, 1.5);
        let work = random.one_of(&[10, 40, 150, 600]) * random.inclusive(5, 15) / 10;
        Arrival {
            request: self.next_request,
            class,
            key: random.maybe(60, |random| KeyId(random.below(4) as u32)),
            estimated_work: has_estimates.then_some(ms(work)),
            estimated_memory_mb: (has_estimates && !random.percent(10)).then_some(memory),
            deadline: if is_retry { deadline.mul_f64(random.between(0.3, 0.9)) } else { deadline },
            queue_time: if random.percent(30) { random.time(1, 60) } else { ms(0) },
            is_retry: self.environment.marks_retries.then_some(is_retry),
            table_group: random.maybe(50, |random| random.below(4) as u64),
        }
    }

    /// Lets one request or a burst of requests arrive.
    pub(super) fn handle_arrivals(&mut self) {
        let burst = if self.random.percent(4) { self.random.inclusive(5, 45) } else { 1 };
        for _ in 0..burst {
            let arrival = self.arrival();
            self.next_request.0 += 1;
            let client_request = ClientRequest { arrival: arrival.clone(), attempts: 0, answered: false };
            self.client_requests.insert(arrival.request, client_request);
            self.scheduler.accept(self.now, arrival, &mut self.log);
            self.carry_out_actions();
        }
        if (self.next_request.0 as usize) < self.environment.requests {
            let wait = self.random.time(0, self.environment.longest_gap_ms);
            self.schedule(wait, Event::Arrival);
        }
    }

    /// Records that a request needs no further answer.
    pub(super) fn answer_request(&mut self, request: RequestId) {
        self.client_requests.get_mut(&request).expect("the request has arrived").answered = true;
    }

    /// Lets some clients cancel their requests or close their sending side.
    pub(super) fn clients_leave(&mut self) {
        let waiting = self
            .client_requests
            .iter()
            .filter(|(_, client_request)| !client_request.answered)
            .map(|(request, _)| *request);
        let leaving: BTreeSet<RequestId> = waiting.filter(|_| self.random.percent(8)).collect();
        let (cancelled, half_closed): (Vec<RequestId>, Vec<RequestId>) =
            leaving.iter().partition(|request| request.0.is_multiple_of(2));
        cancelled.iter().for_each(|request| self.answer_request(*request));
        self.scheduler.clients_left(self.now, &cancelled, &half_closed, &mut self.log);
    }

    /// Queries the scheduler's capacity for random requests.
    pub(super) fn check_capacity(&mut self) {
        let arrivals: Vec<Arrival> = (0..3).map(|_| self.arrival()).collect();
        let mut capacity = self.scheduler.capacity(self.now);
        for arrival in &arrivals {
            self.log.add(ADMITS, &[u64::from(capacity.admits(arrival))]);
        }
        let work = self.scheduler.expected_work(&arrivals[0]);
        self.log.add(EXPECTED_WORK, &[nanoseconds(work), nanoseconds(self.scheduler.answer_margin())]);
    }
}

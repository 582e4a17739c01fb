//! Inputs of a trace: arrivals and cancellations of requests, and ends and progress updates of attempts.

use super::{SHORT, Trace, ms};
use emberflow::{
    Arrival, AttemptEnded, AttemptOutcome, EngineId, KeyId, LoadReport, ProgressUpdate, RequestId,
    SendCondition, Usage,
};
use std::time::Duration;

impl Trace {
    /// Accepts a request with the client's estimates of its work and memory. An estimate of 0 means that the client
    /// gives none.
    pub fn accept(&mut self, class: usize, work_ms: u64, memory_mb: f64) -> &mut Self {
        self.accept_keyed(class, work_ms, memory_mb, None)
    }

    /// Accepts several requests with the same estimates.
    pub fn accept_many(&mut self, count: usize, class: usize, work_ms: u64, memory_mb: f64) -> &mut Self {
        for _ in 0..count {
            self.accept(class, work_ms, memory_mb);
        }
        self
    }

    /// Accepts a request that may have an ordering key.
    pub fn accept_keyed(
        &mut self,
        class: usize,
        work_ms: u64,
        memory_mb: f64,
        key: Option<u32>,
    ) -> &mut Self {
        self.arrive(Arrival { key: key.map(KeyId), ..arrival(class, work_ms, memory_mb) })
    }

    /// Accepts a request with small estimates that uses a table group.
    pub fn accept_in_table_group(&mut self, class: usize, group: u64) -> &mut Self {
        self.arrive(Arrival { table_group: Some(group), ..arrival(class, 100, 300.0) })
    }

    /// Accepts a short request that its client may have marked as a retry.
    pub fn accept_with_retry_mark(&mut self, deadline_ms: u64, is_retry: Option<bool>) -> &mut Self {
        self.arrive(Arrival { deadline: ms(deadline_ms), is_retry, ..arrival(SHORT, 100, 300.0) })
    }

    fn arrive(&mut self, arrival: Arrival) -> &mut Self {
        let deadline = arrival.deadline.min(self.deadlines[arrival.class]);
        let arrival = Arrival { request: self.next_request, deadline, ..arrival };
        self.next_request.0 += 1;
        self.scheduler.accept(self.now(), arrival, &mut self.log);
        self
    }

    /// Reports that the client of a request has left.
    pub fn client_left(&mut self, request: u32) -> &mut Self {
        self.scheduler.clients_left(self.now(), &[RequestId(request)], &[], &mut self.log);
        self
    }

    /// Ends an attempt. A successful attempt answers its request.
    pub fn ended(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
    ) -> &mut Self {
        self.end(ended(request, attempt, engine, outcome))
    }

    /// Writes an attempt now.
    #[allow(dead_code, reason = "not all test programs that use traces write attempts late")]
    pub fn written(&mut self, request: u32, attempt: usize) -> &mut Self {
        self.scheduler.attempt_written(self.now(), RequestId(request), attempt);
        self
    }

    /// Returns the condition that has lapsed for an attempt that is about to be written now.
    #[allow(dead_code, reason = "not all test programs that use traces write attempts late")]
    pub fn lapsed_condition(&self, request: u32, attempt: usize) -> Option<SendCondition> {
        self.scheduler.lapsed_condition(self.now(), RequestId(request), attempt)
    }

    /// Ends an attempt whose request was answered before.
    #[allow(dead_code, reason = "called by counterexamples that the model checker prints")]
    pub fn ended_after_answer(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
    ) -> &mut Self {
        self.end(AttemptEnded { request_done: true, ..ended(request, attempt, engine, outcome) })
    }

    /// Ends an attempt with a load report.
    pub fn ended_with_load_report(
        &mut self,
        request: u32,
        attempt: usize,
        engine: usize,
        outcome: AttemptOutcome,
        load_report: Option<LoadReport>,
    ) -> &mut Self {
        self.end(AttemptEnded { load_report, ..ended(request, attempt, engine, outcome) })
    }

    /// Ends the first attempt of a request with success.
    pub fn succeeded_after(
        &mut self,
        request: u32,
        engine: usize,
        elapsed_ms: u64,
        load_report: Option<LoadReport>,
    ) -> &mut Self {
        let succeeded = ended(request, 0, engine, AttemptOutcome::Succeeded);
        self.end(AttemptEnded { elapsed: ms(elapsed_ms), load_report, ..succeeded })
    }

    /// Ends the first attempt of a request with success and reported usage, and without a load report. The elapsed time
    /// is that of the work on one core.
    pub fn succeeded_with_usage(
        &mut self,
        request: u32,
        engine: usize,
        work_ms: u64,
        memory_mb: f64,
    ) -> &mut Self {
        let usage = Some(Usage { work: ms(work_ms), memory_mb });
        let succeeded = ended(request, 0, engine, AttemptOutcome::Succeeded);
        self.end(AttemptEnded { elapsed: ms(work_ms), usage, ..succeeded })
    }

    fn end(&mut self, ended: AttemptEnded) -> &mut Self {
        self.scheduler.attempt_ended(self.now(), ended, &mut self.log);
        self
    }

    /// Sends a progress update of an attempt in flight.
    pub fn progress_updated(&mut self, request: u32, attempt: usize, update: ProgressUpdate) -> &mut Self {
        self.scheduler.progress_updated(self.now(), RequestId(request), attempt, update, &mut self.log);
        self
    }
}

/// Returns the end of an attempt after 1 ms, without reported usage and a load report.
fn ended(request: u32, attempt: usize, engine: usize, outcome: AttemptOutcome) -> AttemptEnded {
    AttemptEnded {
        request: RequestId(request),
        attempt,
        engine: EngineId(engine),
        outcome,
        elapsed: ms(1),
        usage: None,
        load_report: None,
        request_done: outcome == AttemptOutcome::Succeeded,
    }
}

fn arrival(class: usize, work_ms: u64, memory_mb: f64) -> Arrival {
    Arrival {
        request: RequestId(0),
        class,
        key: None,
        estimated_work: (work_ms > 0).then(|| ms(work_ms)),
        estimated_memory_mb: (memory_mb > 0.0).then_some(memory_mb),
        deadline: ms(24000),
        queue_time: Duration::ZERO,
        is_retry: None,
        table_group: None,
    }
}

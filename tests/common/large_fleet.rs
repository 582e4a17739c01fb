//! A scheduler with a large fleet, for the test that counts the engines that an input examines and the benchmark that
//! measures the time of an input.

use emberflow::*;
use std::time::Duration;

pub const LOCATIONS: usize = 3;
const ROUTERS: usize = 300;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn scheduler(seed: u64, idempotency: Idempotency) -> Scheduler {
    let fleet = Fleet {
        seed,
        router_count: ROUTERS,
        home_location: 0,
        kinds: vec![EngineKind { cores: 4.0, memory_mb: 4096.0 }],
        max_grant_fraction: 0.4,
        honors_priorities: true,
        shrinks_grants: false,
        progress_interval: Some(ms(500)),
        reports_only_on_probe: false,
        must_watch_endpoints: false,
        tick: ms(5),
    };
    let class = RequestClass {
        latency_objective: ms(500),
        objective_stretch: 0.0,
        deadline: ms(2000),
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
        keeps_order: false,
        kinds: None,
        locations: None,
        threads: 1.0,
        is_bulk_load: false,
        waits_for_bulk_loads: false,
    };
    let limits = AttemptLimits {
        max_attempts: 3,
        may_cancel: true,
        may_probe: false,
        start_capacity_fraction: 0.3,
        warm_up: ms(6000),
        overload_factor: 2.5,
        overload_window: ms(1000),
        key_cooldown: None,
        retry_budget: None,
        max_retry_after: None,
    };
    Scheduler::new(fleet, vec![class], limits)
}

pub fn endpoint(engine: EngineId, lifecycle: Lifecycle) -> Endpoint {
    let cell = engine.0 as u64 / 10;
    Endpoint { engine, location: engine.0 % LOCATIONS, kind: 0, cell, lifecycle, launched_at: None }
}

pub fn arrival(request: RequestId) -> Arrival {
    Arrival {
        request,
        class: 0,
        key: None,
        estimated_work: Some(ms(20)),
        estimated_memory_mb: Some(16.0),
        deadline: ms(2000),
        queue_time: Duration::ZERO,
        is_retry: None,
        table_group: None,
    }
}

/// Collects the attempts that a scheduler sends, and ignores its other actions.
#[derive(Default)]
pub struct SentAttempts(pub Vec<(RequestId, EngineId)>);

impl Actions for SentAttempts {
    fn send(&mut self, request: RequestId, engine: EngineId, _: SendLimits) {
        self.0.push((request, engine));
    }
    fn set_grant_and_priority(&mut self, _: RequestId, _: f64, _: u8) {}
    fn cancel(&mut self, _: RequestId, _: usize) {}
    fn reject(&mut self, _: RequestId, _: Option<Duration>) {}
    fn fail(&mut self, _: RequestId) {}
    fn probe(&mut self, _: EngineId) {}
    fn wake_after(&mut self, _: Duration) {}
    fn watch_endpoints(&mut self) {}
    fn forget(&mut self, _: EngineId) {}
}

/// Creates a scheduler whose endpoint list contains ready engines.
pub fn scheduler_with_engines(seed: u64, engines: usize, idempotency: Idempotency) -> Scheduler {
    let mut scheduler = scheduler(seed, idempotency);
    let rows = (0..engines).map(|engine| endpoint(EngineId(engine), Lifecycle::Ready)).collect();
    scheduler.endpoints_changed(Duration::ZERO, EndpointUpdate::FullList, rows, &mut SentAttempts::default());
    scheduler
}

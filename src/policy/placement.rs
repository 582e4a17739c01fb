//! Placement: chooses the engine that a request is sent to.

use super::{FULL_USE, PRESSURE_SLOWDOWN};
use crate::state::{Engine, EngineCondition, FleetSnapshot, Request, SchedulerState, Tier};
use crate::{EngineId, Idempotency, KeyScope};
use std::time::Duration;

/// Largest difference between the free fractions of two engines that counts as a tie.
const FREE_CAPACITY_TIE: f64 = 1.0 / 8.0;

/// An engine with capacity for a request.
pub struct Placement {
    pub engine: EngineId,
    /// Index of the engine's kind.
    pub kind: usize,
    /// Tier of the request at engines of that kind.
    pub tier: Tier,
    /// Fraction of the engine's memory and cores that stays free once the engine has the request; lower for a slow
    /// engine, and negative for an overloaded one.
    free_fraction: f64,
}

impl Placement {
    fn tier_of_kind(&self) -> TierOfKind {
        (self.kind, self.tier)
    }
}

/// The index of an engine kind, and one of its tiers.
type TierOfKind = (usize, Tier);

/// An engine that is eligible for a request.
struct Candidate<'a> {
    id: EngineId,
    engine: &'a Engine,
    condition: &'a EngineCondition,
}

/// The tier and the memory grant of a request at engines of one kind.
struct TierAndGrant {
    tier: Tier,
    grant_mb: f64,
}

/// The engines with capacity for a request, and the tiers at which an eligible engine lacks capacity.
#[derive(Default)]
struct PlacementOptions {
    available: Vec<Placement>,
    full_tiers: Vec<TierOfKind>,
}

impl SchedulerState {
    /// Returns the engine with the most free capacity for a request; `None` if no engine has enough. If no
    /// engine of a kind has capacity, the request's tier is blocked at that kind for later requests.
    pub fn choose_engine(&self, request: &Request, snapshot: &mut FleetSnapshot) -> Option<Placement> {
        let mut tiers = snapshot.gateways.iter().map(|gateway| gateway.tier(request)).enumerate();
        if tiers.all(|tier| snapshot.blocked_tiers.contains(&tier)) {
            return None;
        }
        let PlacementOptions { available, mut full_tiers } = self.placement_options(request, snapshot);
        snapshot.engines_examined += snapshot.engines.len() as u64;
        // A request that may use only some of the engines must not block requests that may use others.
        if self.may_use_all_engines(request) {
            full_tiers.retain(|tier| !available.iter().any(|placement| placement.tier_of_kind() == *tier));
            snapshot.blocked_tiers.extend(full_tiers);
        }
        self.best_placement(request, available, snapshot.now)
    }

    fn placement_options(&self, request: &Request, snapshot: &FleetSnapshot) -> PlacementOptions {
        let by_kind = self.tiers_and_grants(request, snapshot);
        let mut options = PlacementOptions::default();
        for candidate in self.candidates(request, snapshot) {
            let (engine, kind) = (candidate.id, candidate.engine.kind);
            let tier = by_kind[kind].tier;
            if snapshot.blocked_tiers.contains(&(kind, tier)) {
                continue;
            }
            match self.free_fraction(&candidate, request, &by_kind[kind], snapshot) {
                Some(free_fraction) => {
                    options.available.push(Placement { engine, kind, tier, free_fraction });
                }
                None => options.full_tiers.push((kind, tier)),
            }
        }
        options
    }

    fn tiers_and_grants(&self, request: &Request, snapshot: &FleetSnapshot) -> Vec<TierAndGrant> {
        let gateways = snapshot.gateways.iter().enumerate();
        let of_kind = gateways.map(|(kind, gateway)| TierAndGrant {
            tier: gateway.tier(request),
            grant_mb: self.grant_mb(request, kind),
        });
        of_kind.collect()
    }

    /// Returns the engines that are eligible for the request. An ejected engine is eligible only for a recovery
    /// attempt, unless all engines that the request may use are ejected.
    fn candidates<'a>(&'a self, request: &Request, snapshot: &'a FleetSnapshot) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::new();
        for (id, condition) in &snapshot.engines {
            let engine = &self.engines[id];
            if self.is_allowed(request, engine) && self.fits_slow_start(*id, engine, request, snapshot) {
                candidates.push(Candidate { id: *id, engine, condition });
            }
        }
        if candidates.iter().any(|candidate| !candidate.condition.is_outlier) {
            candidates.retain(|candidate| {
                !candidate.condition.is_outlier || self.may_send_recovery_attempt(candidate.engine, snapshot)
            });
        }
        candidates
    }

    /// Returns the fraction of an engine that stays free once the engine has the request, reduced if the engine is
    /// slower than the fleet; `None` if the engine lacks the capacity.
    fn free_fraction(
        &self,
        candidate: &Candidate<'_>,
        request: &Request,
        tier_and_grant: &TierAndGrant,
        snapshot: &FleetSnapshot,
    ) -> Option<f64> {
        let TierAndGrant { tier, grant_mb } = *tier_and_grant;
        let Candidate { engine, condition, .. } = *candidate;
        let gateway = &snapshot.gateways[engine.kind];
        let load = self.projected_load(engine, request, grant_mb, snapshot);
        let is_memory_estimated = engine.report.is_none() || self.fleet.reports_only_on_probe;
        let memory_limit = if is_memory_estimated { gateway.unreported_memory_limit } else { 1.0 };
        // If engines report their core utilization directly, overloaded cores count as pressure in `has_slot`.
        let is_overloaded =
            gateway.reports_in_flight && load.core_utilization() > PRESSURE_SLOWDOWN * FULL_USE;
        let fits = load.memory_utilization <= memory_limit
            && !self.has_unreported_shortage(engine, snapshot.now)
            && !is_overloaded;
        let has_capacity = fits || gateway.local_load.threads == 0.0 || tier <= Tier::Small;
        let free_fraction = 1.0 - load.mean_utilization() * condition.relative_slowdown;
        (has_capacity && self.has_slot(candidate.engine, condition, request, tier, snapshot))
            .then_some(free_fraction)
    }

    /// Returns whether an engine was recently short of memory and has sent no load report since. Reports alone
    /// do not show every shortage: with many routers, most engines send this router reports too rarely.
    fn has_unreported_shortage(&self, engine: &Engine, now: Duration) -> bool {
        let window_start = self.pressure_window_start(now);
        let reported_at = engine.report.map_or(window_start, |report| report.at.max(window_start));
        engine.memory_shortage_at.is_some_and(|at| at > reported_at)
    }

    /// Returns the placement with the most free capacity. Prefers engines that the request was not sent to yet,
    /// and then engines without a bulk load that would block the request.
    fn best_placement(
        &self,
        request: &Request,
        mut available: Vec<Placement>,
        now: Duration,
    ) -> Option<Placement> {
        avoid(&mut available, |engine| request.was_sent_to(engine));
        avoid(&mut available, |engine| self.would_wait_for_bulk_load(engine, request, now));
        let fractions = available.iter().map(|placement| placement.free_fraction);
        let max_free = fractions.fold(f64::NEG_INFINITY, f64::max);
        available.retain(|placement| placement.free_fraction >= max_free - FREE_CAPACITY_TIE);
        available.into_iter().max_by_key(|placement| self.tie_preference(placement.engine, request))
    }

    /// Orders engines with about the same free capacity: first engines that recently got requests of the same
    /// table group, then engines in the home location, then at random.
    fn tie_preference(&self, id: EngineId, request: &Request) -> (bool, bool, u64) {
        let engine = &self.engines[&id];
        let is_recent_table_group =
            request.table_group.is_some_and(|group| engine.recent_table_groups.contains(&group));
        let is_at_home = engine.location == self.fleet.home_location;
        (is_recent_table_group, is_at_home, self.pseudo_random(id, self.random_draws))
    }

    /// Returns whether the request would wait for a bulk load at the engine: a bulk load that this router has
    /// sent, or one that another attempt has recently waited for.
    fn would_wait_for_bulk_load(&self, id: EngineId, request: &Request, now: Duration) -> bool {
        if !self.classes[request.class].waits_for_bulk_loads {
            return false;
        }
        let engine = &self.engines[&id];
        let window_start = self.bulk_load_window_start(now);
        let reported_at = request.table_group.and_then(|group| engine.bulk_loads_reported.get(&group));
        let is_blocking_load = |other: &Request| {
            self.classes[other.class].is_bulk_load && other.table_group == request.table_group
        };
        reported_at.is_some_and(|at| *at >= window_start) || self.in_flight_at(engine).any(is_blocking_load)
    }

    /// Returns whether the engine accepts requests and is allowed by the request's class. If an earlier attempt
    /// may have run, the engine must also be in the scope of the idempotency key.
    pub fn is_allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.classes[request.class];
        let is_allowed_by_class = class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
            && class.locations.as_ref().is_none_or(|locations| locations.contains(&engine.location));
        let first = request.first_that_may_have_run().map(|attempt| &self.engines[&attempt.engine]);
        let is_in_key_scope = match (&class.idempotency, first) {
            (Idempotency::IdempotentWithKey { scope, .. }, Some(first)) => match scope {
                KeyScope::All => true,
                KeyScope::Location => first.location == engine.location,
                KeyScope::Cell => first.cell == engine.cell,
            },
            _ => true,
        };
        engine.lifecycle.accepts_requests() && is_allowed_by_class && is_in_key_scope
    }

    /// Returns whether the request may use all engines of the kinds that its class allows. Otherwise, the locations of
    /// its class or the scope of its idempotency key exclude some of them.
    fn may_use_all_engines(&self, request: &Request) -> bool {
        let class = &self.classes[request.class];
        let has_limited_key_scope = matches!(
            &class.idempotency,
            Idempotency::IdempotentWithKey { scope, .. } if *scope != KeyScope::All
        );
        let may_have_run = request.first_that_may_have_run().is_some();
        class.locations.is_none() && !(has_limited_key_scope && may_have_run)
    }
}

/// Removes the placements at avoided engines, unless that would remove all placements.
fn avoid(placements: &mut Vec<Placement>, is_avoided: impl Fn(EngineId) -> bool) {
    if placements.iter().any(|placement| !is_avoided(placement.engine)) {
        placements.retain(|placement| !is_avoided(placement.engine));
    }
}

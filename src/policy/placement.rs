//! Placement: which engine a request is sent to.

use super::*;

/// Difference in free capacity, as a part of the engine, that counts as a tie.
const TIE: f64 = 1.0 / 8.0;

/// An engine that has room for a request, the tier there, and the part of the engine that stays free.
pub struct Placement {
    pub engine: EngineId,
    pub kind: usize,
    pub tier: Tier,
    free_part: f64,
}

/// An engine that a request may be sent to.
struct Candidate<'a> {
    id: EngineId,
    engine: &'a Engine,
    view: &'a EngineView,
}

/// What a request needs of an engine of one kind.
struct Needs {
    tier: Tier,
    grant_mb: f64,
}

impl SchedulerState {
    /// The engine with most free capacity, if any has some, for a request that is to go now; later ones of a
    /// tier wait behind the first that has none.
    pub fn choose_engine(&self, request: &Request, snapshot: &mut FleetSnapshot) -> Option<Placement> {
        let mut tiers = snapshot.gateways.iter().map(|gateway| gateway.tier(request)).enumerate();
        if tiers.all(|slot| snapshot.blocked_tiers.contains(&slot)) {
            return None;
        }
        let needs_of = |(kind, gateway): (usize, &Gateway)| Needs {
            tier: gateway.tier(request),
            grant_mb: self.grant_mb(request, kind),
        };
        let needs: Vec<Needs> = snapshot.gateways.iter().enumerate().map(needs_of).collect();
        let (mut free, mut full) = (Vec::new(), Vec::new());
        for candidate in self.candidates(request, snapshot) {
            let (engine, kind) = (candidate.id, candidate.engine.kind);
            let tier = needs[kind].tier;
            if snapshot.blocked_tiers.contains(&(kind, tier)) {
                continue;
            }
            match self.free_at(&candidate, request, &needs[kind], snapshot) {
                Some(free_part) => free.push(Placement { engine, kind, tier, free_part }),
                None => full.push((kind, tier)),
            }
        }
        snapshot.engines_examined += snapshot.engines.len() as u64;
        // Whoever had the choice of all engines keeps later ones of the tier behind it.
        if self.may_go_anywhere(request) {
            let slot = |placement: &Placement| (placement.kind, placement.tier);
            full.retain(|full| !free.iter().any(|placement| slot(placement) == *full));
            snapshot.blocked_tiers.extend(full);
        }
        self.best_place(request, free, snapshot.now)
    }

    /// Engines that a request may be sent to: outliers by a trickle, unless all look bad.
    fn candidates<'a>(&'a self, request: &Request, snapshot: &'a FleetSnapshot) -> Vec<Candidate<'a>> {
        let in_view =
            snapshot.engines.iter().map(|(id, view)| Candidate { id: *id, engine: &self.engines[id], view });
        let mut candidates: Vec<Candidate<'a>> = in_view
            .filter(|Candidate { id, engine, .. }| {
                self.is_allowed(request, engine) && self.fits_slow_start(*id, engine, request, snapshot)
            })
            .collect();
        if candidates.iter().any(|candidate| !candidate.view.is_outlier) {
            candidates.retain(|Candidate { engine, view, .. }| {
                !view.is_outlier || self.may_trickle(engine, snapshot)
            });
        }
        candidates
    }

    /// Part of an engine that stays free once it has the request; `None` where it has no room for it.
    fn free_at(
        &self,
        candidate: &Candidate<'_>,
        request: &Request,
        needs: &Needs,
        snapshot: &FleetSnapshot,
    ) -> Option<f64> {
        let Needs { tier, grant_mb } = *needs;
        let Candidate { engine, view, .. } = *candidate;
        let gateway = &snapshot.gateways[engine.kind];
        let load = self.projected_load(engine, request, grant_mb, snapshot);
        let is_guess = engine.report.is_none() || self.fleet.reports_only_on_probe;
        let limit = if is_guess { gateway.unreported_fill } else { 1.0 };
        // A shortage noted since the last report, as for most engines when routers are many.
        let from = snapshot.now.saturating_sub(self.shortest_objective() * 2);
        let reported_at = engine.report.map_or(from, |report| report.at.max(from));
        let is_short = engine.short_at.is_some_and(|at| at > reported_at);
        // Requests in flight tell of more than all cores; where cores are reported themselves, pressure does.
        let is_crowded = gateway.reports_in_flight && load.combined - load.memory > PRESSURE_SLOWDOWN * FULL;
        let fits = load.memory <= limit && !is_short && !is_crowded;
        let has_capacity = fits || gateway.own.threads == 0.0 || tier <= Tier::Small;
        let free_part = 1.0 - load.combined / 2.0 * view.relative_slowdown;
        (has_capacity && self.has_slot((engine, view), request, tier, snapshot)).then_some(free_part)
    }

    /// The engine with most free capacity; engines not tried yet and without loads in the way come first.
    fn best_place(&self, request: &Request, mut free: Vec<Placement>, now: Duration) -> Option<Placement> {
        let was_tried = |id: EngineId| request.was_sent_to(id);
        let has_load = |id: EngineId| self.would_wait_for_load(id, request, now);
        for avoided in [&was_tried as &dyn Fn(EngineId) -> bool, &has_load] {
            if free.iter().any(|placement| !avoided(placement.engine)) {
                free.retain(|placement| !avoided(placement.engine));
            }
        }
        let most = free.iter().map(|placement| placement.free_part).fold(f64::NEG_INFINITY, f64::max);
        free.retain(|placement| placement.free_part >= most - TIE);
        // Near ties only: to where the group was read, to the home location.
        let preference = |id: EngineId| {
            let engine = &self.engines[&id];
            let has_group = request.group.is_some_and(|group| engine.recent_groups.contains(&group));
            (has_group, engine.location == self.fleet.home_location, self.chance(id, self.draws))
        };
        free.into_iter().max_by_key(|placement| preference(placement.engine))
    }

    /// Guards against waiting behind loads: an own one, or one that an attempt lately waited for.
    fn would_wait_for_load(&self, id: EngineId, request: &Request, now: Duration) -> bool {
        let engine = &self.engines[&id];
        let from = now.saturating_sub(self.shortest_objective() * 2);
        let noted = request.group.and_then(|group| engine.bulk_loads_seen.get(&group));
        let mut loads = self.in_flight_at(engine).filter(|other| self.classes[other.class].is_bulk_load);
        self.classes[request.class].waits_for_bulk_loads
            && (noted.is_some_and(|at| *at >= from) || loads.any(|load| load.group == request.group))
    }

    /// What a request's class may be sent to, by placement and by the engines that drop its repeats.
    fn is_allowed(&self, request: &Request, engine: &Engine) -> bool {
        let class = &self.classes[request.class];
        let is_placed = class.kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
            && class.locations.as_ref().is_none_or(|locations| locations.contains(&engine.location));
        let first = request.first_that_may_have_run().map(|attempt| &self.engines[&attempt.engine]);
        let in_scope = match (&class.effect, first) {
            (Effect::IdempotentWithKey { scope, .. }, Some(first)) => match scope {
                KeyScope::All => true,
                KeyScope::Location => first.location == engine.location,
                KeyScope::Cell => first.cell == engine.cell,
            },
            _ => true,
        };
        engine.lifecycle.accepts_requests() && is_placed && in_scope
    }

    /// Whether neither placement nor an earlier attempt keeps it from engines that others may be sent to.
    fn may_go_anywhere(&self, request: &Request) -> bool {
        let class = &self.classes[request.class];
        let is_bound =
            matches!(&class.effect, Effect::IdempotentWithKey { scope, .. } if *scope != KeyScope::All);
        class.locations.is_none() && (!is_bound || request.first_that_may_have_run().is_none())
    }
}

//! What must hold, one function each. A law looks at what is true before an act and tells whether the act
//! breaks it; it never asks the module what that believes.

use crate::life::{Act, Life, Truth};
use crate::world::{Asks, World};
use emberflow::{Effect, KeyScope, Lifecycle, RequestId};
use std::time::Duration;

pub struct Law {
    pub name: &'static str,
    pub says: &'static str,
    pub breaks: fn(&World, &Life, &Act) -> bool,
}

impl std::fmt::Debug for Law {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(self.name)
    }
}

pub const LAWS: [Law; 18] = [
    Law { name: "one answer", says: "no request gets a second final answer", breaks: second_answer },
    Law { name: "in time", says: "a request is answered before its deadline ends", breaks: late_answer },
    Law { name: "nothing after", says: "nothing is sent for a request after its answer", breaks: sent_after },
    Law { name: "one attempt out", says: "a request has at most one attempt out", breaks: two_attempts_out },
    Law {
        name: "non-idempotent",
        says: "a non-idempotent request that may have run is not sent again",
        breaks: runs_twice,
    },
    Law {
        name: "keyed",
        says: "a keyed request that may have run is sent again only within its scope and window",
        breaks: repeat_unknown,
    },
    Law {
        name: "honest reject",
        says: "a rejection comes only where a retry is harmless",
        breaks: harmful_reject,
    },
    Law {
        name: "drains",
        says: "nothing new goes to an engine told to drain or gone",
        breaks: sent_to_drained,
    },
    Law {
        name: "cold budget",
        says: "a cold engine gets no more than its part in any window",
        breaks: cold_overrun,
    },
    Law {
        name: "key order",
        says: "requests of one key run one at a time, in their order",
        breaks: out_of_turn,
    },
    Law { name: "key rest", says: "a key rests after an attempt that may still run", breaks: key_disturbed },
    Law {
        name: "placement",
        says: "every attempt goes where its request class is placed",
        breaks: misplaced,
    },
    Law {
        name: "attempt limit",
        says: "a request has no more attempts than allowed",
        breaks: too_many_attempts,
    },
    Law { name: "attempt budget", says: "further attempts stay within their budget", breaks: over_budget },
    Law {
        name: "cancel",
        says: "only an attempt that is out is cancelled, and once",
        breaks: cancels_nothing,
    },
    Law { name: "grant", says: "a grant stays within what an engine allows", breaks: grant_too_large },
    Law { name: "wakes", says: "no open request without a wake-up due", breaks: stands_still },
    Law { name: "comes to rest", says: "a life that has ended leaves nothing behind", breaks: leaves_behind },
];

fn request<'a>(life: &'a Life, number: &RequestId) -> &'a Truth {
    &life.requests[*number as usize]
}

fn second_answer(_: &World, life: &Life, act: &Act) -> bool {
    match act {
        Act::Reject { request: number } | Act::Fail { request: number } | Act::Serve { request: number } => {
            request(life, number).answer.is_some()
        }
        _ => false,
    }
}

fn late_answer(_: &World, life: &Life, act: &Act) -> bool {
    let Act::Pass { to } = act else { return false };
    let late = |request: &Truth| {
        request.open() && (request.deadline <= *to || life.shutdown_at.is_some_and(|by| by <= *to))
    };
    // What nothing would wake the module for is another law's matter.
    !life.wakes.is_empty() && life.requests.iter().any(late)
}

fn sent_after(_: &World, life: &Life, act: &Act) -> bool {
    matches!(act, Act::Send { request: number, .. } if !request(life, number).open())
}

fn two_attempts_out(_: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, .. } = act else { return false };
    let request = request(life, number);
    request.open() && request.out().is_some()
}

/// The ended attempts of an open request that is to be sent.
fn sent_again<'a>(life: &'a Life, act: &Act) -> Option<&'a Truth> {
    let Act::Send { request: number, .. } = act else { return None };
    Some(request(life, number)).filter(|request| request.open() && request.out().is_none())
}

fn runs_twice(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, .. } = act else { return false };
    let ran = sent_again(life, act).is_some_and(|request| request.first_that_may_have_run().is_some());
    ran && matches!(world.class_of(*number).effect, Effect::NonIdempotent)
}

fn repeat_unknown(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, engine, .. } = act else { return false };
    let Some(first) = sent_again(life, act).and_then(Truth::first_that_may_have_run) else { return false };
    let Effect::IdempotentWithKey { scope, window } = &world.class_of(*number).effect else { return false };
    let (was, is) = (world.engines[first.engine], world.engines[*engine]);
    let known = match scope {
        KeyScope::All => true,
        KeyScope::Location => was.0 == is.0,
        KeyScope::Cell => was.1 == is.1,
    };
    !known || life.now >= first.sent + *window
}

fn harmful_reject(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Reject { request: number } = act else { return false };
    let request = request(life, number);
    let known = match &world.class_of(*number).effect {
        Effect::Idempotent => true,
        Effect::IdempotentWithKey { scope, .. } => *scope == KeyScope::All,
        Effect::NonIdempotent => false,
    };
    request.open() && !known && request.first_that_may_have_run().is_some()
}

fn sent_to_drained(_: &World, life: &Life, act: &Act) -> bool {
    matches!(act, Act::Send { engine, .. } if life.sites[*engine].lifecycle != Lifecycle::Ready)
}

/// By the rule's own figures: what an engine can do at its warmth, times the factor, over the time after which
/// it falls, of which this router has an equal part. Where that is less than one request, one may go in a time as
/// much longer.
fn cold_overrun(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, engine, .. } = act else { return false };
    let site = &life.sites[*engine];
    let Some(launched) = site.launched else { return false };
    let World { fleet, attempt_limits, .. } = world;
    let warmth = (life.now - launched).as_secs_f64() / attempt_limits.warm_up.as_secs_f64();
    if warmth >= 1.0 {
        return false;
    }
    let capacity = fleet.kinds[world.kind(*engine)].cores
        * (attempt_limits.start_capacity + (1.0 - attempt_limits.start_capacity) * warmth);
    let part = attempt_limits.overload_factor * capacity * attempt_limits.overload_window.as_secs_f64()
        / fleet.router_count as f64;
    let usual = world.requests[*number as usize].cost as f64 / 1e3;
    let over = attempt_limits.overload_window.mul_f64((usual / part).max(1.0));
    let sent = site.sent.iter().filter(|(at, _)| *at + over > life.now).map(|(_, work)| work);
    sent.sum::<f64>() + usual > part.max(usual) * (1.0 + 1e-9)
}

fn out_of_turn(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, .. } = act else { return false };
    let at = *number as usize;
    let Some(key) = world.requests[at].key.filter(|_| world.class_of(*number).keeps_order) else {
        return false;
    };
    let before = life.requests[..at].iter().zip(world.requests);
    let unfinished = |(request, asks): (&Truth, &Asks)| {
        asks.key == Some(key) && (request.open() || request.out().is_some())
    };
    life.requests[at].open() && life.requests[at].out().is_none() && before.into_iter().any(unfinished)
}

fn key_disturbed(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Send { request: number, .. } = act else { return false };
    let key = world.requests[*number as usize].key;
    let rests = |(other, by, until): &(u32, RequestId, Duration)| {
        Some(*other) == key && by != number && *until > life.now
    };
    sent_again(life, act).is_some() && life.rests.iter().any(rests)
}

fn misplaced(world: &World, _: &Life, act: &Act) -> bool {
    let Act::Send { request: number, engine, .. } = act else { return false };
    let class = world.class_of(*number);
    let kind = class.kinds.as_ref().is_some_and(|kinds| !kinds.contains(&world.kind(*engine)));
    kind || class.locations.as_ref().is_some_and(|places| !places.contains(&world.engines[*engine].0))
}

fn too_many_attempts(world: &World, life: &Life, act: &Act) -> bool {
    sent_again(life, act).is_some_and(|request| request.attempts.len() >= world.attempt_limits.max_attempts)
}

fn over_budget(world: &World, life: &Life, act: &Act) -> bool {
    let Some(budget) = &world.attempt_limits.retry_budget else { return false };
    let further = sent_again(life, act).is_some_and(|request| !request.attempts.is_empty());
    let lately = |at: Duration| at + budget.window > life.now;
    let made = life.further.iter().filter(|at| lately(**at)).count() as f64;
    let taken = life.requests.iter().filter(|request| lately(request.arrived)).count() as f64;
    further && made + 1.0 > budget.spare + budget.per_request * taken
}

fn cancels_nothing(world: &World, life: &Life, act: &Act) -> bool {
    let Act::Cancel { request: number, attempt } = act else { return false };
    let attempt = request(life, number).attempts.get(*attempt);
    !world.attempt_limits.may_cancel
        || attempt.is_none_or(|attempt| attempt.end.is_some() || attempt.cancelled)
}

fn grant_too_large(world: &World, _: &Life, act: &Act) -> bool {
    let Act::Terms { grant_mb, .. } = act else { return false };
    let fleet = &world.fleet;
    let most = fleet.kinds.iter().map(|kind| kind.memory_mb * fleet.max_grant_share).fold(0.0, f64::max);
    *grant_mb > most.round()
}

fn stands_still(_: &World, life: &Life, act: &Act) -> bool {
    matches!(act, Act::Pass { .. }) && life.wakes.is_empty() && life.requests.iter().any(Truth::open)
}

fn leaves_behind(_: &World, life: &Life, act: &Act) -> bool {
    *act == Act::Rest && !life.rests()
}

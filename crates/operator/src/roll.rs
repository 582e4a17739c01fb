//! The roll of teams: their names, shares and budgets, and how requests tell them.

use emberflow_teams::{Allowance, Charter, Firm, Team};
use serde::de::{DeserializeSeed, Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::{HashMap, HashSet};
use std::marker::PhantomData;
use std::time::Duration;

/// Names longer than this are none.
pub const LONGEST_NAME: usize = 128;
const LARGEST_SHARE: f64 = 1e6;
const LONGEST_S: f64 = 366.0 * 24.0 * 3600.0;
const SHORTEST_S: f64 = 0.1;
const MOST_TEAMS: usize = 10_000;
const MOST_WAITING: usize = 10_000_000;

/// A roll that makes sense: the first team takes those that are not on it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Written")]
pub struct Roll {
    pub charter: Charter,
    /// By number, the first of them for requests of no team on the roll.
    pub names: Vec<String>,
    numbers: HashMap<String, usize>,
    /// The fields of a request that tell its team and its urgency.
    pub team_field: String,
    pub urgency_field: String,
    /// The field by which a client asks to be told of its wait, and how often it is told.
    pub waits_field: Option<String>,
    pub told_every: Duration,
}

impl Roll {
    /// The team of that name, or the one for all others.
    pub fn team(&self, name: &str) -> usize {
        self.numbers.get(name).copied().unwrap_or(0)
    }

    /// Where this roll's teams stand on another one, by name; those that are gone stand nowhere.
    pub fn on(&self, other: &Self) -> Vec<Option<usize>> {
        let place = |(at, name): (usize, &String)| match at {
            0 => Some(0),
            _ => other.numbers.get(name).copied(),
        };
        self.names.iter().enumerate().map(place).collect()
    }

    /// What is different on another one, in words.
    pub fn changes(&self, other: &Self) -> Vec<String> {
        let mut told = Vec::new();
        for (name, at) in self.names.iter().zip(self.on(other)) {
            match at {
                None => told.push(format!("{name} is gone")),
                Some(at) => {
                    let (old, new) = (&self.charter.teams[self.team(name)], &other.charter.teams[at]);
                    if (old.share, old.allowance, old.most_waiting)
                        != (new.share, new.allowance, new.most_waiting)
                    {
                        told.push(format!("{name} has another share, budget or bound"));
                    }
                }
            }
        }
        let fresh = other.names.iter().filter(|name| !self.names.contains(name));
        told.extend(fresh.map(|name| format!("{name} is new")));
        told
    }
}

/// A number within bounds, told with what was expected.
fn within(value: f64, most: f64, expected: &str) -> Result<f64, String> {
    let right = value.is_finite() && value > 0.0 && value <= most;
    if right { Ok(value) } else { Err(format!("expected {expected}, found {value:?}")) }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
struct Share(f64);

impl TryFrom<f64> for Share {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        within(value, LARGEST_SHARE, "a share above 0, up to a million").map(Self)
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
struct Seconds(Duration);

impl TryFrom<f64> for Seconds {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let seconds = within(value, LONGEST_S, "seconds above 0, up to a year")?;
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// Between two words to a client that waits: its line is not to be flooded.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
struct Pause(Duration);

impl TryFrom<f64> for Pause {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let seconds = within(value, LONGEST_S, "seconds from 0.1, up to a year")?;
        let right = seconds >= SHORTEST_S;
        let wrong = || format!("expected seconds from 0.1, up to a year, found {value:?}");
        right.then(|| Self(Duration::from_secs_f64(seconds))).ok_or_else(wrong)
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
struct Count(usize);

impl TryFrom<f64> for Count {
    type Error = String;
    fn try_from(value: f64) -> Result<Self, String> {
        let whole = within(value, MOST_WAITING as f64, "a count from 1 to ten millions")?;
        if whole.fract() > 0.0 {
            return Err(format!("expected a whole number, found {value:?}"));
        }
        Ok(Self(whole as usize))
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "String")]
struct Name(String);

impl TryFrom<String> for Name {
    type Error = String;
    fn try_from(name: String) -> Result<Self, String> {
        match name.len() {
            1..=LONGEST_NAME => Ok(Self(name)),
            length => Err(format!("expected a name of 1 to {LONGEST_NAME} bytes, found {length}")),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenBudget {
    work_s: Seconds,
    per_s: Seconds,
    burst_s: Option<Seconds>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenFirm {
    name: Name,
    share: Option<Share>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenTeam {
    name: Name,
    firm: Option<Name>,
    share: Option<Share>,
    budget: Option<WrittenBudget>,
    most_waiting: Option<Count>,
}

/// What stands for a request that names no team on the roll.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenRest {
    share: Option<Share>,
    budget: Option<WrittenBudget>,
    most_waiting: Option<Count>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenWaits {
    field: Name,
    every_s: Pause,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    #[serde(default, deserialize_with = "each_once")]
    firms: Vec<WrittenFirm>,
    #[serde(default, deserialize_with = "each_once")]
    list: Vec<WrittenTeam>,
    #[serde(default)]
    others: WrittenRest,
    team_field: Option<Name>,
    urgency_field: Option<Name>,
    waits: Option<WrittenWaits>,
}

trait Named {
    fn name(&self) -> &Name;
}

impl Named for WrittenFirm {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for WrittenTeam {
    fn name(&self) -> &Name {
        &self.name
    }
}

/// One row, refused where its name was there before.
struct Row<'a, T>(&'a mut HashSet<Name>, PhantomData<T>);

impl<'de, T: Deserialize<'de> + Named> DeserializeSeed<'de> for Row<'_, T> {
    type Value = T;
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<T, D::Error> {
        let row = T::deserialize(from)?;
        let fresh = self.0.insert(row.name().clone());
        let twice = || D::Error::custom(format!("expected each name once, found {} twice", row.name().0));
        if fresh { Ok(row) } else { Err(twice()) }
    }
}

struct Rows<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de> + Named> Visitor<'de> for Rows<T> {
    type Value = Vec<T>;
    fn expecting(&self, into: &mut std::fmt::Formatter) -> std::fmt::Result {
        into.write_str("a list")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut from: A) -> Result<Vec<T>, A::Error> {
        let (mut rows, mut names) = (Vec::new(), HashSet::new());
        while let Some(row) = from.next_element_seed(Row(&mut names, PhantomData))? {
            rows.push(row);
        }
        Ok(rows)
    }
}

/// Reads a list in which each name stands once: a second one is told where it stands.
fn each_once<'de, D: Deserializer<'de>, T: Deserialize<'de> + Named>(from: D) -> Result<Vec<T>, D::Error> {
    from.deserialize_seq(Rows(PhantomData))
}

/// Requests of a team that wait, where nothing else is said.
const WAITING: usize = 1000;

fn team(firm: usize, share: Option<Share>, budget: Option<WrittenBudget>, waiting: Option<Count>) -> Team {
    let allowance = budget.map(|WrittenBudget { work_s, per_s, burst_s }| Allowance {
        work: work_s.0,
        over: per_s.0,
        burst: burst_s.unwrap_or(work_s).0,
    });
    let share = share.map_or(1.0, |share| share.0);
    Team { firm, share, allowance, most_waiting: waiting.map_or(WAITING, |count| count.0) }
}

impl TryFrom<Written> for Roll {
    type Error = String;

    fn try_from(written: Written) -> Result<Self, String> {
        let Written { firms, list, others, team_field, urgency_field, waits } = written;
        if list.len() >= MOST_TEAMS {
            return Err(format!("expected up to {MOST_TEAMS} teams, found {}", list.len()));
        }
        // A firm of its own stands for each team that names none, and one for those that are on no roll.
        let mut charter = Charter { firms: Vec::new(), teams: Vec::new() };
        let mut known = HashMap::new();
        for (at, WrittenFirm { name, share }) in firms.into_iter().enumerate() {
            charter.firms.push(Firm { share: share.map_or(1.0, |share| share.0) });
            known.insert(name, at);
        }
        let own = |charter: &mut Charter, share: Option<Share>| {
            charter.firms.push(Firm { share: share.map_or(1.0, |share| share.0) });
            charter.firms.len() - 1
        };
        let (mut names, mut numbers) = (vec!["(others)".to_owned()], HashMap::new());
        let rest = own(&mut charter, others.share);
        charter.teams.push(team(rest, None, others.budget, others.most_waiting));
        for (at, WrittenTeam { name, firm, share, budget, most_waiting }) in list.into_iter().enumerate() {
            let (firm, share) = match firm {
                None => (own(&mut charter, share), None),
                Some(firm) => {
                    let known = known.get(&firm).copied();
                    (
                        known.ok_or_else(|| {
                            format!("list[{at}].firm: expected a firm of the list, found {}", firm.0)
                        })?,
                        share,
                    )
                }
            };
            charter.teams.push(team(firm, share, budget, most_waiting));
            names.push(name.0.clone());
            numbers.insert(name.0, at + 1);
        }
        if let Some((path, expected)) = charter.fault() {
            return Err(format!("{path}: expected {expected}"));
        }
        let field = |name: Option<Name>, usual: &str| name.map_or_else(|| usual.to_owned(), |name| name.0);
        let told_every = waits.as_ref().map_or(Duration::ZERO, |waits| waits.every_s.0);
        Ok(Self {
            charter,
            names,
            numbers,
            team_field: field(team_field, "team"),
            urgency_field: field(urgency_field, "urgency"),
            waits_field: waits.map(|waits| waits.field.0),
            told_every,
        })
    }
}

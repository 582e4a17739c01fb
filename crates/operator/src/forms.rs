//! The parts of the file in their written form. Decoding validates each value by itself.

use crate::error::FormError;
use crate::limits::{MAX_NAME_BYTES, MAX_SECONDS, MAX_SHARE, MAX_WAITING, MIN_NOTICE_INTERVAL_S};
use serde::de::{DeserializeSeed, Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::HashSet;
use std::marker::PhantomData;
use std::time::Duration;

/// Checks that a number is finite, above 0 and not above `max`. `expected` describes the range in the error.
fn bounded(value: f64, max: f64, expected: &'static str) -> Result<f64, FormError> {
    let valid = value.is_finite() && value > 0.0 && value <= max;
    if valid { Ok(value) } else { Err(FormError::Number { expected, found: value }) }
}

/// The share of an organization or of a team, as a weight.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Share(pub(crate) f64);

impl TryFrom<f64> for Share {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        bounded(value, MAX_SHARE, "a share above 0, up to a million").map(Self)
    }
}

/// A time in seconds, above 0.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Seconds(pub(crate) Duration);

impl TryFrom<f64> for Seconds {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let seconds = bounded(value, MAX_SECONDS, "seconds above 0, up to a year")?;
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// The time between two notices to a client that waits, in seconds.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct NoticeInterval(pub(crate) Duration);

impl TryFrom<f64> for NoticeInterval {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let expected = "seconds from 0.1, up to a year";
        let seconds = bounded(value, MAX_SECONDS, expected)?;
        if seconds < MIN_NOTICE_INTERVAL_S {
            return Err(FormError::Number { expected, found: value });
        }
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// A limit of waiting requests.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Count(pub(crate) usize);

impl TryFrom<f64> for Count {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let count = bounded(value, MAX_WAITING as f64, "a whole number from 1 to ten million")?;
        if count.fract() > 0.0 {
            return Err(FormError::Number { expected: "a whole number", found: value });
        }
        Ok(Self(count as usize))
    }
}

/// The name of a team, an organization or a field of a request.
#[derive(Clone, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct Name(pub(crate) String);

impl TryFrom<String> for Name {
    type Error = FormError;

    fn try_from(name: String) -> Result<Self, FormError> {
        match name.len() {
            1..=MAX_NAME_BYTES => Ok(Self(name)),
            length => Err(FormError::NameLength { found: length }),
        }
    }
}

/// A budget: `work_s` seconds of work in each period of `per_s` seconds, and at most `burst_s` seconds at once. Without
/// `burst_s`, the burst is `work_s`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct BudgetForm {
    #[serde(rename = "work_s")]
    pub(crate) work: Seconds,
    #[serde(rename = "per_s")]
    pub(crate) period: Seconds,
    #[serde(rename = "burst_s")]
    pub(crate) burst: Option<Seconds>,
}

/// An organization of the list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrganizationForm {
    pub(crate) name: Name,
    pub(crate) share: Option<Share>,
}

/// A team of the list.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamForm {
    pub(crate) name: Name,
    #[serde(rename = "firm")]
    pub(crate) organization: Option<Name>,
    pub(crate) share: Option<Share>,
    pub(crate) budget: Option<BudgetForm>,
    #[serde(rename = "most_waiting")]
    pub(crate) max_waiting: Option<Count>,
}

/// The team for requests that name no listed team.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OthersForm {
    pub(crate) share: Option<Share>,
    pub(crate) budget: Option<BudgetForm>,
    #[serde(rename = "most_waiting")]
    pub(crate) max_waiting: Option<Count>,
}

/// Notices to clients of their estimated wait.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaitNoticesForm {
    pub(crate) field: Name,
    #[serde(rename = "every_s")]
    pub(crate) interval: NoticeInterval,
}

/// The part of the file about teams.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamsForm {
    #[serde(default, rename = "firms", deserialize_with = "unique_names")]
    pub(crate) organizations: Vec<OrganizationForm>,
    #[serde(default, rename = "list", deserialize_with = "unique_names")]
    pub(crate) teams: Vec<TeamForm>,
    #[serde(default)]
    pub(crate) others: OthersForm,
    pub(crate) team_field: Option<Name>,
    pub(crate) urgency_field: Option<Name>,
    #[serde(rename = "waits")]
    pub(crate) wait_notices: Option<WaitNoticesForm>,
}

/// An element of a list in which names are unique.
trait Named {
    fn name(&self) -> &Name;
}

impl Named for OrganizationForm {
    fn name(&self) -> &Name {
        &self.name
    }
}

impl Named for TeamForm {
    fn name(&self) -> &Name {
        &self.name
    }
}

/// Decodes a list in which each name may occur once. An error names the path of the element that repeats a name.
fn unique_names<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Named,
{
    deserializer.deserialize_seq(UniqueNamesVisitor(PhantomData))
}

struct UniqueNamesVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de> + Named> Visitor<'de> for UniqueNamesVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Vec<T>, A::Error> {
        let mut rows = Vec::new();
        let mut names = HashSet::new();
        loop {
            let element = UniqueElement { names: &mut names, element: PhantomData };
            let Some(row) = sequence.next_element_seed(element)? else { break };
            rows.push(row);
        }
        Ok(rows)
    }
}

/// Decodes one element; fails if an earlier element has the same name.
struct UniqueElement<'a, T> {
    names: &'a mut HashSet<Name>,
    element: PhantomData<T>,
}

impl<'de, T: Deserialize<'de> + Named> DeserializeSeed<'de> for UniqueElement<'_, T> {
    type Value = T;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<T, D::Error> {
        let row = T::deserialize(deserializer)?;
        if self.names.insert(row.name().clone()) {
            return Ok(row);
        }
        let name = row.name().0.clone();
        Err(D::Error::custom(FormError::DuplicateName { name }))
    }
}

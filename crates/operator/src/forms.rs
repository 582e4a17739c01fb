//! The types into which serde deserializes the operator's file. Their fields correspond to those of the file, and
//! deserialization validates each value by itself. [`crate::TeamConfig`] is built from them.

use crate::error::FormError;
use crate::limits::{MAX_NAME_BYTES, MAX_SECONDS, MAX_SHARE, MAX_WAITING, MIN_NOTICE_INTERVAL_S};
use serde::de::{DeserializeSeed, Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::HashSet;
use std::marker::PhantomData;
use std::time::Duration;

/// Returns `value` if it is finite, above 0 and not above `max`. `expected` describes the range in the error.
fn check_range(value: f64, max: f64, expected: &'static str) -> Result<f64, FormError> {
    let is_valid = value.is_finite() && value > 0.0 && value <= max;
    if is_valid { Ok(value) } else { Err(FormError::InvalidNumber { expected, found: value }) }
}

/// The share of an organization or of a team, as a relative weight.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Share(pub(crate) f64);

impl TryFrom<f64> for Share {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        check_range(value, MAX_SHARE, "a share above 0, up to a million").map(Self)
    }
}

/// A time above 0, in seconds in the file.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct Seconds(pub(crate) Duration);

impl TryFrom<f64> for Seconds {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let seconds = check_range(value, MAX_SECONDS, "seconds above 0, up to a year")?;
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// The time between two notices to a client of its wait, in seconds in the file.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct NoticeInterval(pub(crate) Duration);

impl TryFrom<f64> for NoticeInterval {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let expected = "seconds from 0.1, up to a year";
        let seconds = check_range(value, MAX_SECONDS, expected)?;
        if seconds < MIN_NOTICE_INTERVAL_S {
            return Err(FormError::InvalidNumber { expected, found: value });
        }
        Ok(Self(Duration::from_secs_f64(seconds)))
    }
}

/// The limit of a team's waiting requests. The file may contain it with a decimal point, as `2.0`.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub(crate) struct WaitingLimit(pub(crate) usize);

impl TryFrom<f64> for WaitingLimit {
    type Error = FormError;

    fn try_from(value: f64) -> Result<Self, FormError> {
        let limit = check_range(value, MAX_WAITING as f64, "a whole number from 1 to ten million")?;
        if limit.fract() > 0.0 {
            return Err(FormError::InvalidNumber { expected: "a whole number", found: value });
        }
        Ok(Self(limit as usize))
    }
}

/// The name of a team, of an organization or of a field of a request.
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

/// A team's budget: `work_s` seconds of work in each period of `per_s` seconds. Unused work accumulates up to `burst_s`
/// seconds, or up to `work_s` without `burst_s`.
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

/// An element of the list `firms`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OrganizationForm {
    pub(crate) name: Name,
    pub(crate) share: Option<Share>,
}

/// An element of the list of teams.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamForm {
    pub(crate) name: Name,
    #[serde(rename = "firm")]
    pub(crate) organization: Option<Name>,
    pub(crate) share: Option<Share>,
    pub(crate) budget: Option<BudgetForm>,
    #[serde(rename = "most_waiting")]
    pub(crate) max_waiting: Option<WaitingLimit>,
}

/// The team for requests that name no listed team.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OthersForm {
    pub(crate) share: Option<Share>,
    pub(crate) budget: Option<BudgetForm>,
    #[serde(rename = "most_waiting")]
    pub(crate) max_waiting: Option<WaitingLimit>,
}

/// Notices to clients of their estimated wait. A request subscribes to them by `field`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WaitNoticesForm {
    pub(crate) field: Name,
    #[serde(rename = "every_s")]
    pub(crate) interval: NoticeInterval,
}

/// The value of `teams` in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TeamsForm {
    #[serde(default, rename = "firms", deserialize_with = "unique_names")]
    pub(crate) organizations: Vec<OrganizationForm>,
    #[serde(default, rename = "list", deserialize_with = "unique_names")]
    pub(crate) teams: Vec<TeamForm>,
    #[serde(default)]
    pub(crate) others: OthersForm,
    /// The field of a request that names its team.
    pub(crate) team_field: Option<Name>,
    /// The field of a request that holds its urgency.
    pub(crate) urgency_field: Option<Name>,
    #[serde(rename = "waits")]
    pub(crate) wait_notices: Option<WaitNoticesForm>,
}

/// An element of a list in which each name may occur only once.
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

/// Deserializes a list in which each name may occur only once. The error for a repeated name has the path of the second
/// element with the name.
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
        let mut elements = Vec::new();
        let mut names = HashSet::new();
        loop {
            let seed = UniqueElement { names: &mut names, element: PhantomData };
            let Some(element) = sequence.next_element_seed(seed)? else { break };
            elements.push(element);
        }
        Ok(elements)
    }
}

/// Deserializes one element; fails if an earlier element has the same name.
struct UniqueElement<'a, T> {
    /// The names of the earlier elements.
    names: &'a mut HashSet<Name>,
    element: PhantomData<T>,
}

impl<'de, T: Deserialize<'de> + Named> DeserializeSeed<'de> for UniqueElement<'_, T> {
    type Value = T;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<T, D::Error> {
        let element = T::deserialize(deserializer)?;
        if self.names.insert(element.name().clone()) {
            return Ok(element);
        }
        let name = element.name().0.clone();
        Err(D::Error::custom(FormError::DuplicateName { name }))
    }
}

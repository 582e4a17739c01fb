//! Decodes and validates the parameters of a client's request.

use crate::config::MAX_PEER_NUMBER;
use crate::{jsonrpc, statement};
use emberflow::KeyId;
use emberflow_operator::{MAX_NAME_BYTES, TeamConfig};
use emberflow_settings::{Fields, SettingsError, from_ms};
use serde_json::Value;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Number of hexadecimal digits in a request's name.
const NAME_DIGITS: usize = 16;
/// The urgency of a request that does not state one.
const DEFAULT_URGENCY: u8 = 0;
/// The highest urgency.
const MAX_URGENCY: u8 = 3;

/// Errors in a request's parameters. The texts are part of the protocol: the client receives them.
#[derive(Debug, thiserror::Error)]
pub(super) enum ParameterError {
    #[error(transparent)]
    InvalidField(#[from] SettingsError),
    #[error("`{0}` is out of range")]
    NumberOutOfRange(&'static str),
    #[error("`req` is not 16 hex digits")]
    RequestName,
    #[error("`opkey` holds more than letters and digits")]
    IdempotencyKey,
    #[error("`timeout` is not above 0")]
    NoDeadline,
    #[error("`data` is not base64")]
    DataNotBase64,
    #[error("`data` is no text")]
    DataNotUtf8,
    #[error("`resent` is not 0 or 1")]
    RetryMark,
    #[error("`{field}` is over {MAX_NAME_BYTES} bytes")]
    TeamName { field: String },
    #[error("`{field}` is not 0, 1, 2 or 3")]
    Urgency { field: String },
}

/// The parameters of a request, apart from its class, id and name.
pub(super) struct RequestParameters {
    /// The key of requests that may have to run in order.
    pub ordering_key: Option<KeyId>,
    /// Expected time on one core; `None` if the client states none.
    pub estimated_work: Option<Duration>,
    /// Expected memory, in MB; `None` if the client states none.
    pub estimated_memory_mb: Option<f64>,
    /// Time from the arrival of the request to its deadline, in milliseconds.
    pub deadline_ms: f64,
    /// The key by which engines recognize a repeated request.
    pub idempotency_key: Option<String>,
    /// The statement that engines run.
    pub statement: Vec<u8>,
    /// The group of tables that the statement uses, if its text names one.
    pub table_group: Option<u64>,
    /// Whether the client marks the request as a retry.
    pub is_resent: bool,
}

impl RequestParameters {
    /// Decodes a request's parameters.
    ///
    /// # Errors
    /// Returns the first invalid parameter.
    pub fn decode(fields: Fields<'_>) -> Result<Self, ParameterError> {
        let idempotency_key = optional_text(fields, "opkey")?;
        if idempotency_key.is_some_and(|key| key.bytes().any(|byte| !byte.is_ascii_alphanumeric())) {
            return Err(ParameterError::IdempotencyKey);
        }
        let ordering_key = optional_text(fields, "subject")?.map(|subject| KeyId(hash_of(subject)));
        let deadline_ms = optional_number(fields, "timeout")?.ok_or(ParameterError::NoDeadline)?;
        let estimated_work = optional_number(fields, "ms")?.map(from_ms).filter(|work| !work.is_zero());
        let estimated_memory_mb = optional_number(fields, "memory")?;
        let statement = jsonrpc::decode_body(fields.text("data")?).ok_or(ParameterError::DataNotBase64)?;
        let statement_text = std::str::from_utf8(&statement).map_err(|_| ParameterError::DataNotUtf8)?;
        let table_group = statement::table_group(statement_text);
        let is_resent = retry_mark(fields)?;
        Ok(Self {
            ordering_key,
            estimated_work,
            estimated_memory_mb,
            deadline_ms,
            idempotency_key: idempotency_key.map(str::to_owned),
            statement,
            table_group,
            is_resent,
        })
    }
}

impl fmt::Display for RequestParameters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { estimated_work, estimated_memory_mb, table_group, .. } = self;
        write!(f, "estimated_work={estimated_work:?} estimated_memory_mb={estimated_memory_mb:?} ")?;
        write!(f, "table_group={table_group:?} ")?;
        let Self { deadline_ms, is_resent, idempotency_key, .. } = self;
        write!(f, "deadline_ms={deadline_ms} resent={is_resent} idempotency_key={idempotency_key:?}")
    }
}

/// The parameters on which the admission queue depends. The operator's file names the fields that contain them.
pub(super) struct TeamParameters {
    /// The team's index.
    pub team: usize,
    /// From 0, the default, to [`MAX_URGENCY`].
    pub urgency: u8,
    /// Whether the client subscribes to notices of its wait.
    pub wants_wait_notices: bool,
}

impl TeamParameters {
    /// Decodes the fields that `teams` names.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn decode(teams: &TeamConfig, fields: Fields<'_>) -> Result<Self, ParameterError> {
        let name = optional_text(fields, &teams.team_field)?.unwrap_or_default();
        if name.len() > MAX_NAME_BYTES {
            return Err(ParameterError::TeamName { field: teams.team_field.clone() });
        }
        let urgency = match fields.get(&teams.urgency_field) {
            None => DEFAULT_URGENCY,
            Some(value) => decode_urgency(value)
                .ok_or_else(|| ParameterError::Urgency { field: teams.urgency_field.clone() })?,
        };
        let wait_notice_field = teams.wait_notice_field.as_ref();
        let wants_wait_notices = wait_notice_field.is_some_and(|field| fields.get_flag(field));
        Ok(Self { team: teams.team_index(name), urgency, wants_wait_notices })
    }
}

/// Decodes the name by which engines identify a request: 16 hexadecimal digits.
pub(super) fn request_name<'a>(fields: Fields<'a>) -> Result<&'a str, ParameterError> {
    let name = fields.text("req")?;
    let is_hexadecimal = name.bytes().all(|byte| byte.is_ascii_hexdigit());
    if name.len() == NAME_DIGITS && is_hexadecimal { Ok(name) } else { Err(ParameterError::RequestName) }
}

/// Returns the number by which the scheduler identifies an ordering key, and by which the admission queue identifies an
/// idempotency key or a request's name. Requests of two ordering keys with the same hash only wait for each other.
pub(super) fn hash_of(text: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish() as u32
}

/// Decodes an integer from 0 to [`MAX_URGENCY`].
fn decode_urgency(value: &Value) -> Option<u8> {
    let urgency = u8::try_from(value.as_u64()?).ok()?;
    (urgency <= MAX_URGENCY).then_some(urgency)
}

fn optional_text<'a>(fields: Fields<'a>, name: &str) -> Result<Option<&'a str>, SettingsError> {
    fields.optional(name, Fields::text)
}

/// Decodes a number from 0 to [`MAX_PEER_NUMBER`]; returns `None` if the number is absent or 0.
fn optional_number(fields: Fields<'_>, name: &'static str) -> Result<Option<f64>, ParameterError> {
    let value = fields.optional(name, Fields::number)?;
    match value {
        Some(value) if !(0.0..=MAX_PEER_NUMBER).contains(&value) => {
            Err(ParameterError::NumberOutOfRange(name))
        }
        value => Ok(value.filter(|value| *value > 0.0)),
    }
}

/// Decodes whether the client marks the request as a retry. The mark is a boolean, 0 or 1.
fn retry_mark(fields: Fields<'_>) -> Result<bool, ParameterError> {
    let Some(value) = fields.get("resent") else { return Ok(false) };
    if let Some(flag) = value.as_bool() {
        return Ok(flag);
    }
    match value.as_u64() {
        Some(0) => Ok(false),
        Some(1) => Ok(true),
        _ => Err(ParameterError::RetryMark),
    }
}

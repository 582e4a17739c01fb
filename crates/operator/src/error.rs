//! Errors in the operator's file.

use crate::limits::{MAX_NAME_BYTES, MAX_TEAMS};
use emberflow_teams::QuotaError;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// The first error in the operator's file. It is displayed as `line 7, teams.list[2].share: expected ..., found ...`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct OperatorConfigError {
    /// The line of the error, counted from 1; `None` if the parser does not report it.
    pub line: Option<usize>,
    /// The path of the invalid value, such as `teams.list[2].share`.
    pub path: String,
    /// The cause: for an invalid value, the expected value and the one that was found.
    pub problem: String,
}

impl Display for OperatorConfigError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}, ")?;
        }
        write!(formatter, "{}: {}", self.path, self.problem)
    }
}

impl OperatorConfigError {
    /// Converts an error of the JSON5 parser or of a value's validation.
    pub(crate) fn new(error: serde_path_to_error::Error<json5::Error>) -> Self {
        let path = error.path().to_string();
        let error = error.into_inner();
        let Some(position) = error.position() else {
            return Self { line: None, path, problem: error.to_string() };
        };
        // The parser's message ends with the position. It is removed, since the line is displayed before the path.
        let message = error.to_string();
        let problem = message.split_once(" at line ").map_or(message.as_str(), |(problem, _)| problem);
        Self { line: Some(position.line + 1), path, problem: problem.to_owned() }
    }
}

/// Errors of values that have the right type but are not valid.
#[derive(Debug, Error)]
pub(crate) enum FormError {
    /// A number is out of its range, or not an integer where one is required.
    #[error("expected {expected}, found {found:?}")]
    InvalidNumber { expected: &'static str, found: f64 },
    /// A name is empty or too long.
    #[error("expected a name of 1 to {max} bytes, found one of {found} bytes", max = MAX_NAME_BYTES)]
    NameLength { found: usize },
    /// A list contains a name twice.
    #[error("expected each name once, found {name} twice")]
    DuplicateName { name: String },
    /// The list has too many teams.
    #[error("expected fewer than {max} listed teams, found {found}", max = MAX_TEAMS)]
    TooManyTeams { found: usize },
    /// A team names an organization that is not listed.
    #[error("list[{index}].firm: expected a name of the list `firms`, found {name}")]
    UnknownOrganization { index: usize, name: String },
    /// The quotas of the organizations and teams are not valid together.
    #[error(transparent)]
    Quota(#[from] QuotaError),
}

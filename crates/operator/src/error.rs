//! What can be wrong with the operator's file.

use crate::forms::{MAX_NAME_BYTES, MAX_TEAMS};
use emberflow_teams::QuotaError;
use std::fmt::{Display, Formatter};
use thiserror::Error;

/// Why the operator's file was rejected. It is printed as `line 7, teams.list[2].share: expected ...`.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct OperatorConfigError {
    /// The line that holds the fault, from 1 up, where the parser knows it.
    pub line: Option<usize>,
    /// The way to the fault, as in `teams.list[2].share`.
    pub path: String,
    /// What was expected, and what was found instead.
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
    pub(crate) fn new(error: serde_path_to_error::Error<json5::Error>) -> Self {
        let path = error.path().to_string();
        let error = error.into_inner();
        let Some(position) = error.position() else {
            return Self { line: None, path, problem: error.to_string() };
        };
        // The parser's message ends with the position, which stands in front here.
        let message = error.to_string();
        let problem = message.split_once(" at line ").map_or(message.as_str(), |(problem, _)| problem);
        Self { line: Some(position.line + 1), path, problem: problem.to_owned() }
    }
}

/// A value of the file that has the right type and makes no sense.
#[derive(Debug, Error)]
pub(crate) enum FormError {
    #[error("expected {expected}, found {found:?}")]
    Number { expected: &'static str, found: f64 },
    #[error("expected a name of 1 to {max} bytes, found {found}", max = MAX_NAME_BYTES)]
    NameLength { found: usize },
    #[error("expected each name once, found {name} twice")]
    DuplicateName { name: String },
    #[error("expected up to {max} teams, found {found}", max = MAX_TEAMS)]
    TooManyTeams { found: usize },
    #[error("list[{index}].firm: expected a firm of the list, found {name}")]
    UnknownOrganization { index: usize, name: String },
    #[error(transparent)]
    Quota(#[from] QuotaError),
}

//! The statements that emulated clients send. A statement specifies the work and memory that it needs of an engine.

const WORK_FIELD: &str = "work_ms";
const MEMORY_FIELD: &str = "need_mb";
/// The work of a statement that does not specify it.
const DEFAULT_WORK_MS: f64 = 10.0;
/// The memory of a statement that does not specify it.
const DEFAULT_MEMORY_MB: f64 = 10.0;

/// The work and memory that a statement needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementNeed {
    /// Work in milliseconds on one core.
    pub work_ms: f64,
    /// The memory with which the statement runs at full speed, in MB.
    pub memory_mb: f64,
}

impl StatementNeed {
    /// Returns a statement that specifies this need.
    pub fn statement(&self) -> String {
        format!("select {WORK_FIELD}={:.1} {MEMORY_FIELD}={:.1}", self.work_ms, self.memory_mb)
    }

    /// Returns the need that a statement specifies, or the defaults.
    pub fn of_statement(statement: &str) -> Self {
        Self {
            work_ms: field(statement, WORK_FIELD).unwrap_or(DEFAULT_WORK_MS),
            memory_mb: field(statement, MEMORY_FIELD).unwrap_or(DEFAULT_MEMORY_MB),
        }
    }
}

/// Returns the value of a field `name=value` of a statement.
fn field(statement: &str, name: &str) -> Option<f64> {
    statement.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

//! The statements that emulated clients send. They name the work and the memory that an emulated engine needs for them.

const WORK_FIELD: &str = "work_ms";
const MEMORY_FIELD: &str = "need_mb";
/// The need of a statement that does not name it.
const DEFAULT_WORK_MS: f64 = 10.0;
const DEFAULT_MEMORY_MB: f64 = 10.0;

/// The work and memory of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatementNeed {
    /// Milliseconds on one core.
    pub work_ms: f64,
    /// The memory with which the statement runs at full speed, in MB.
    pub memory_mb: f64,
}

impl StatementNeed {
    /// Returns a statement with this need.
    pub fn statement(&self) -> String {
        format!("select {WORK_FIELD}={:.1} {MEMORY_FIELD}={:.1}", self.work_ms, self.memory_mb)
    }

    /// Returns the need of a statement.
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

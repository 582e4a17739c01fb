//! The `emberflow` program.

fn main() -> std::process::ExitCode {
    emberflow_router::command::run()
}

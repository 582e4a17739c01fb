//! The `emberflow` program: the command line of the router.

fn main() -> std::process::ExitCode {
    emberflow_router::command::run()
}

//! The entry point of the program `emberflow-model-checker`.

fn main() -> std::process::ExitCode {
    emberflow_model_checker::command::run()
}

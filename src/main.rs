//! The `stairstage` program; see [`stairstage::cli`].

fn main() -> std::process::ExitCode {
    stairstage::cli::main()
}

fn main() -> std::process::ExitCode {
    stairstage::cli::main()
}

//! The command line.

use crate::{service, settings::Settings};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// A cluster scheduler: one leading controller, backfilling on learned run times.
#[derive(Parser)]
#[command(name = "stairstage", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller until it is killed.
    Serve(Files),
    /// Checks the settings and ends.
    Check(Files),
}

#[derive(Args)]
struct Files {
    /// The settings file that the platform hands over (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (S-expressions).
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

const EXIT_SETTINGS: u8 = 2;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let (Command::Serve(files) | Command::Check(files)) = &cli.command;
    let settings = match Settings::load(&files.config, files.policy.as_deref()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("stairstage: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match cli.command {
        Command::Check(_) => {
            println!("settings of {} are valid", settings.name);
            ExitCode::SUCCESS
        }
        Command::Serve(_) => {
            log_to_stderr();
            match service::run(settings) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    tracing::error!("cannot start: {error:#}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

fn log_to_stderr() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => LevelFilter::ERROR,
        Ok("debug") => LevelFilter::DEBUG,
        _ => LevelFilter::INFO,
    };
    let layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    // Libraries only tell what goes wrong.
    let targets = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(env!("CARGO_CRATE_NAME"), level);
    tracing_subscriber::registry()
        .with(layer)
        .with(targets)
        .init();
}

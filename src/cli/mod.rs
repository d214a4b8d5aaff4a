//! The command line: arguments, exit codes and logging.

mod upgrade;

use crate::{service, settings::Settings};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use upgrade::UpgradeCommand;

/// A cluster scheduler with one leading controller and backfill based on learned run times.
#[derive(Parser)]
#[command(name = "stairstage", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve(SettingsFiles),
    /// Validate the settings files and exit.
    Check(SettingsFiles),
    /// Inspect and control staged upgrades of the controllers.
    #[command(subcommand)]
    Upgrade(UpgradeCommand),
}

#[derive(Args)]
struct SettingsFiles {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' policy (S-expression); the default policy if omitted.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// The operators' upgrade policy (S-expression); upgrades are not staged if omitted.
    #[arg(long, value_name = "FILE")]
    upgrade: Option<PathBuf>,
}

/// The exit code for an invalid or unreadable settings file.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The exit code for an upgrade operation that is refused.
const EXIT_REFUSED: u8 = 3;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match &cli.command {
        Command::Check(files) => files.with_settings(|settings| {
            println!("settings of {} are valid", settings.name);
            ExitCode::SUCCESS
        }),
        Command::Serve(files) => files.with_settings(serve),
        Command::Upgrade(command) => upgrade::run(command),
    }
}

impl SettingsFiles {
    fn with_settings(&self, run: impl FnOnce(Settings) -> ExitCode) -> ExitCode {
        let (policy, upgrade) = (self.policy.as_deref(), self.upgrade.as_deref());
        with_settings(&self.config, policy, upgrade, run)
    }
}

/// Loads the settings and runs a command with them. If loading fails, prints the error.
fn with_settings(
    config: &Path,
    policy: Option<&Path>,
    upgrade: Option<&Path>,
    run: impl FnOnce(Settings) -> ExitCode,
) -> ExitCode {
    match Settings::load(config, policy, upgrade) {
        Ok(settings) => run(settings),
        Err(error) => {
            eprintln!("stairstage: {error}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

fn serve(settings: Settings) -> ExitCode {
    init_logging();
    match service::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("cannot start the controller: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Logs to standard error, at the level in the environment variable `LOG_LEVEL`: `error`, `debug`, or
/// `info` for any other value.
fn init_logging() {
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
    // Libraries log at most warnings and errors.
    let targets = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(env!("CARGO_CRATE_NAME"), level);
    tracing_subscriber::registry()
        .with(layer)
        .with(targets)
        .init();
}

//! `stairstage upgrade`: commands to inspect, finalize or abort an upgrade.

use super::{with_settings, EXIT_REFUSED};
use crate::service::clock::wall_ms;
use crate::service::upgrade::records;
use crate::settings::Settings;
use crate::storage::key_value_store::KeyValueStore;
use clap::{Args, Subcommand, ValueEnum};
use stairstage_upgrade::operation::{Outcome, Request};
use stairstage_upgrade::plan::{Initiator, Plan};
use stairstage_upgrade::status::Status;
use stairstage_upgrade::{Hold, Snapshot, UpgradePolicy};
use std::path::PathBuf;
use std::process::ExitCode;

/// A subcommand of `stairstage upgrade`.
#[derive(Subcommand)]
pub(super) enum UpgradeCommand {
    /// Show each controller's release, the active version, and what blocks the next version.
    Status(UpgradeFiles),
    /// Show whether `finalize` would raise the version now, and otherwise all reasons why not.
    Plan(UpgradeFiles),
    /// Raise the cluster version by one. This cannot be undone.
    Finalize(UpgradeFiles),
    /// Abort the upgrade to the next version, so that no policy finalizes it.
    Abort(UpgradeFiles),
}

/// The settings files and the output format.
#[derive(Args)]
pub(super) struct UpgradeFiles {
    /// The settings file of any controller of the cluster (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' upgrade policy (S-expression).
    #[arg(long, value_name = "FILE")]
    upgrade: Option<PathBuf>,
    /// The output format.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// The maximum number of idle connections to the state service.
const MAX_IDLE_CONNECTIONS: usize = 1;

/// The context of an upgrade command.
struct CommandContext {
    settings: Settings,
    policy: UpgradePolicy,
    store: KeyValueStore,
    format: Format,
}

/// Runs the command and returns its exit code.
pub(super) fn run(command: &UpgradeCommand) -> ExitCode {
    let (UpgradeCommand::Status(files)
    | UpgradeCommand::Plan(files)
    | UpgradeCommand::Finalize(files)
    | UpgradeCommand::Abort(files)) = command;
    with_settings(&files.config, None, files.upgrade.as_deref(), |settings| {
        let context = CommandContext {
            policy: settings.upgrade.clone().unwrap_or_default(),
            store: KeyValueStore::new(settings.endpoints.state, MAX_IDLE_CONNECTIONS),
            format: files.format,
            settings,
        };
        match command {
            UpgradeCommand::Status(_) => context.status(),
            UpgradeCommand::Plan(_) => context.plan(),
            UpgradeCommand::Finalize(_) => context.execute(Request::Finalize(Initiator::Operator)),
            UpgradeCommand::Abort(_) => context.execute(Request::Abort),
        }
    })
}

impl CommandContext {
    /// Reads the upgrade records. If the state service is unavailable, prints an error.
    fn snapshot(&self) -> Option<Snapshot> {
        let controllers = records::configured_controllers(&self.settings);
        let result = records::read(&self.store, &controllers);
        if result.is_err() {
            eprintln!(
                "stairstage: the state service at {} is unavailable",
                self.settings.endpoints.state
            );
        }
        result.ok().map(|(snapshot, _)| snapshot)
    }

    fn plan_of(&self, snapshot: &Snapshot, initiator: Initiator) -> Plan {
        let timing = records::timing(&self.settings, &self.policy, wall_ms());
        Plan::of(snapshot, &self.policy, initiator, &timing)
    }

    fn status(&self) -> ExitCode {
        let Some(snapshot) = self.snapshot() else {
            return ExitCode::FAILURE;
        };
        let plan = self.plan_of(&snapshot, Initiator::Policy);
        self.print_status(&Status::of(&snapshot, &plan, wall_ms()));
        ExitCode::SUCCESS
    }

    fn plan(&self) -> ExitCode {
        let Some(snapshot) = self.snapshot() else {
            return ExitCode::FAILURE;
        };
        let plan = self.plan_of(&snapshot, Initiator::Operator);
        self.print_status(&Status::of(&snapshot, &plan, wall_ms()));
        match plan.ready() {
            Some(next) => {
                self.print_text(&format!("`finalize` would raise the version to {next}"));
                ExitCode::SUCCESS
            }
            None => ExitCode::from(EXIT_REFUSED),
        }
    }

    fn execute(&self, request: Request) -> ExitCode {
        let (store, settings) = (&self.store, &self.settings);
        let outcome = records::execute(store, settings, &self.policy, request, wall_ms);
        match outcome {
            Outcome::Finalized(version) => self.print_done(&format!("version {version} is active")),
            Outcome::Aborted(version) => {
                self.print_done(&format!("upgrade aborted; version {version} stays active"))
            }
            Outcome::AlreadyFinalized(version) => self.print_refused(&[format!(
                "version {version} is active, and no controller supports a later version"
            )]),
            Outcome::Refused(holds) => {
                let holds: Vec<String> = holds.iter().map(Hold::to_string).collect();
                self.print_refused(&holds)
            }
            Outcome::Undecided => {
                eprintln!(
                    "stairstage: outcome unknown: the state service is unavailable, or the upgrade \
                     records changed during the operation; try again"
                );
                ExitCode::FAILURE
            }
        }
    }

    fn print_done(&self, message: &str) -> ExitCode {
        match self.format {
            Format::Text => println!("{message}"),
            Format::Json => println!("{}", serde_json::json!({ "done": message })),
        }
        ExitCode::SUCCESS
    }

    fn print_refused(&self, reasons: &[String]) -> ExitCode {
        match self.format {
            Format::Text => reasons
                .iter()
                .for_each(|reason| println!("refused: {reason}")),
            Format::Json => println!("{}", serde_json::json!({ "refused": reasons })),
        }
        ExitCode::from(EXIT_REFUSED)
    }

    fn print_status(&self, status: &Status) {
        match self.format {
            Format::Text => print!("{status}"),
            Format::Json => println!(
                "{}",
                serde_json::to_string(status).expect("serializing plain data cannot fail")
            ),
        }
    }

    /// Prints a message in the text format only; the JSON status already contains the information.
    fn print_text(&self, message: &str) {
        if self.format == Format::Text {
            println!("{message}");
        }
    }
}

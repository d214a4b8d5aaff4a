//! `stairstage upgrade`: the commands by which operators inspect, finalize or abort an upgrade.

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

/// What to do about an upgrade.
#[derive(Subcommand)]
pub(super) enum UpgradeCommand {
    /// Tells who runs which release, the active version, and what holds the next one up.
    Status(UpgradeFiles),
    /// Tells whether `finalize` would raise the version now, and every reason why not.
    Plan(UpgradeFiles),
    /// Raises the cluster version by one. There is no way back.
    Finalize(UpgradeFiles),
    /// Calls the upgrade to the next version off, so that no policy finalizes it.
    Abort(UpgradeFiles),
}

/// Where the settings are, and how to tell.
#[derive(Args)]
pub(super) struct UpgradeFiles {
    /// The settings file of any controller of the cluster (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' upgrade policy (S-expressions).
    #[arg(long, value_name = "FILE")]
    upgrade: Option<PathBuf>,
    #[arg(long, value_enum, default_value_t = Format::Text)]
    format: Format,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Idle connections to the state service.
const CONNECTIONS: usize = 1;

/// What every upgrade command works with.
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
            store: KeyValueStore::new(settings.endpoints.state, CONNECTIONS),
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
    /// Reads the records; prints that the state service is unavailable otherwise.
    fn snapshot(&self) -> Option<Snapshot> {
        let controllers = records::configured_controllers(&self.settings);
        let result = records::read(&self.store, &controllers);
        if result.is_err() {
            eprintln!(
                "stairstage: the state service at {} does not answer",
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
            Outcome::Aborted(version) => self.print_done(&format!(
                "the upgrade is called off; version {version} stays active"
            )),
            Outcome::AlreadyFinalized(version) => self.print_refused(&[format!(
                "version {version} is active, and no controller knows a later one"
            )]),
            Outcome::Refused(holds) => {
                let holds: Vec<String> = holds.iter().map(Hold::to_string).collect();
                self.print_refused(&holds)
            }
            Outcome::Undecided => {
                eprintln!(
                    "stairstage: not decided: the state service did not answer, or the records changed \
                     meanwhile; try again"
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

    /// Prints a message that only the text format needs: the JSON status contains it.
    fn print_text(&self, message: &str) {
        if self.format == Format::Text {
            println!("{message}");
        }
    }
}

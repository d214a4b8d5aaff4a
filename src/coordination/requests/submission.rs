//! Submissions. Any controller can accept a job by writing its open record; the leader receives the job
//! through its watch.

use super::acceptance::{Acceptance, AcceptanceOutcome};
use super::admission::rejection;
use super::answers::{Answer, RetryReason};
use super::context::Context;
use super::decision::{Decision, OpenJob};
use super::dependency_check::{DependencyCheck, DependencyStatus};
use super::job_lookup::{JobLookup, RecordedState};
use super::polls::CheckedDependencies;
use super::step::{Step, StepError, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobSpec, JobState};
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// The maximum number of dependencies that a submission checks itself, one after the other.
const MAX_CHECKED_DIRECTLY: usize = 24;

/// Accepts or rejects a job, unless it was accepted before.
pub(super) struct Submission {
    record: OpenRecord,
    write_fence: WriteFence,
    state: State,
}

enum State {
    /// The job will be rejected unless the lookup finds it: an earlier acceptance remains valid even if
    /// the settings or the release of this controller would reject the job now.
    Rejecting {
        lookup: JobLookup,
        answer: Answer,
    },
    CheckingDependencies(DependencyCheck),
    /// The job has many dependencies. They are checked only if the job was not accepted before.
    LookingUp(JobLookup),
    /// The dependencies are checked in the background.
    AwaitingCheck,
    Accepting(Acceptance),
    /// A dependency is cancelled: the job is recorded as cancelled and gets no open record.
    AcceptingCancelled(Acceptance),
}

impl Submission {
    /// Starts the submission of a job.
    pub(super) fn begin(spec: JobSpec, context: &Context) -> (Submission, Step<Decision>) {
        let record = OpenRecord::accepted(spec, context.now_ms);
        let write_fence = context.write_fence;
        if let Some(answer) = rejection(&record, context) {
            let (lookup, call) = JobLookup::begin(&record.spec.id);
            let submission = Submission {
                record,
                write_fence,
                state: State::Rejecting { lookup, answer },
            };
            return (submission, Step::Call(call));
        }
        let dependencies = &record.spec.waits_on;
        if dependencies.len() > MAX_CHECKED_DIRECTLY && !dependencies.contains(&record.spec.id) {
            let (lookup, call) = JobLookup::begin(&record.spec.id);
            let submission = Submission {
                record,
                write_fence,
                state: State::LookingUp(lookup),
            };
            return (submission, Step::Call(call));
        }
        let max_compares = context.settings.cluster.state.max_compares();
        let (check, step) = DependencyCheck::begin(&record.spec, max_compares);
        let mut submission = Submission {
            record,
            write_fence,
            state: State::CheckingDependencies(check),
        };
        let step = submission.on_dependency_step(step);
        (submission, step)
    }

    pub(super) fn on_answer(&mut self, store_answer: StoreAnswer) -> StepResult<Decision> {
        Ok(match &mut self.state {
            State::Rejecting { lookup, answer } => {
                let step = lookup.on_answer(store_answer)?;
                let (job, answer) = (&self.record.spec.id, answer.clone());
                step.map(|recorded| {
                    Decision::about_known(job, recorded).unwrap_or_else(|| answer.into())
                })
            }
            State::CheckingDependencies(check) => {
                let step = check.on_answer(store_answer)?;
                self.on_dependency_step(step)
            }
            State::LookingUp(lookup) => {
                let step = lookup.on_answer(store_answer)?;
                self.on_lookup_step(step)
            }
            State::AwaitingCheck => return Err(StepError::Unavailable),
            State::Accepting(acceptance) => {
                let step = acceptance.on_answer(store_answer)?;
                step.map(|outcome| self.decision_of(outcome, JobState::Pending))
            }
            State::AcceptingCancelled(acceptance) => {
                let step = acceptance.on_answer(store_answer)?;
                step.map(|outcome| self.decision_of(outcome, JobState::Cancelled))
            }
        })
    }

    fn on_lookup_step(&mut self, step: Step<RecordedState>) -> Step<Decision> {
        let recorded = match step {
            Step::Call(call) => return Step::Call(call),
            Step::Finished(recorded) => recorded,
        };
        let known = Decision::about_known(&self.record.spec.id, recorded);
        Step::Finished(known.unwrap_or_else(|| {
            self.state = State::AwaitingCheck;
            Decision::CheckDependencies(self.record.spec.waits_on.clone())
        }))
    }

    /// Handles the result of the check in the background.
    pub(super) fn on_dependencies_checked(
        &mut self,
        result: CheckedDependencies,
    ) -> StepResult<Decision> {
        let status = match result {
            CheckedDependencies::Accepted => DependencyStatus::Accepted,
            CheckedDependencies::Cancelled => DependencyStatus::Cancelled,
            CheckedDependencies::NeverAccepted(job) => DependencyStatus::never_accepted(&job),
            CheckedDependencies::RateLimited => return Err(StepError::RateLimited),
            CheckedDependencies::Unavailable => return Err(StepError::Unavailable),
        };
        Ok(self.on_dependency_step(Step::Finished(status)))
    }

    fn on_dependency_step(&mut self, step: Step<DependencyStatus>) -> Step<Decision> {
        match step {
            Step::Call(call) => Step::Call(call),
            Step::Finished(DependencyStatus::Accepted) => Step::Call(self.accept()),
            Step::Finished(DependencyStatus::Cancelled) => Step::Call(self.accept_cancelled()),
            Step::Finished(DependencyStatus::Invalid(reason)) => {
                let (lookup, call) = JobLookup::begin(&self.record.spec.id);
                let answer = Answer::CannotRun(reason);
                self.state = State::Rejecting { lookup, answer };
                Step::Call(call)
            }
        }
    }

    fn accept(&mut self) -> StoreCall {
        let id = &self.record.spec.id;
        let value = serde_json::to_value(&self.record).expect("serializing plain data cannot fail");
        let (acceptance, call) = Acceptance::begin(id, open_key(id), value, &self.write_fence);
        self.state = State::Accepting(acceptance);
        call
    }

    fn accept_cancelled(&mut self) -> StoreCall {
        let id = &self.record.spec.id;
        let value = FinalStateRecord::cancelled(self.record.at_ms).to_value();
        let (acceptance, call) =
            Acceptance::begin(id, final_state_key(id), value, &self.write_fence);
        self.state = State::AcceptingCancelled(acceptance);
        call
    }

    fn decision_of(&self, outcome: AcceptanceOutcome, state: JobState) -> Decision {
        let version = match outcome {
            AcceptanceOutcome::Created { version } => version,
            AcceptanceOutcome::Duplicate(recorded) => {
                return Decision::about_known(&self.record.spec.id, recorded)
                    .unwrap_or_else(|| Answer::RetryLater(RetryReason::JustAccepted).into());
            }
        };
        let answer = Answer::Accepted {
            job: self.record.spec.id.clone(),
            state,
        };
        if state.is_final() {
            return answer.into();
        }
        let job = OpenJob {
            record: Box::new(self.record.clone()),
            version,
        };
        Decision::Accepted { job, answer }
    }
}

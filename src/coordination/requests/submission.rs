//! Submissions. Any controller can accept a job by writing its open record; the leader receives the job
//! through its watch.

use super::acceptance::{Acceptance, AcceptanceOutcome};
use super::admission::rejection;
use super::answers::{Answer, RetryReason};
use super::context::Context;
use super::decision::{Decision, OpenJob};
use super::dependency_check::{DependencyCheck, DependencyStatus};
use super::job_lookup::JobLookup;
use super::step::{Step, StepResult};
use super::store_call::{StoreAnswer, StoreCall};
use crate::protocol::job::{JobSpec, JobState};
use crate::storage::records::{final_state_key, open_key, FinalStateRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

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
                step.map(|known| known.map_or(answer.clone(), Answer::Known).into())
            }
            State::CheckingDependencies(check) => {
                let step = check.on_answer(store_answer)?;
                self.on_dependency_step(step)
            }
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
            AcceptanceOutcome::Duplicate(Some(status)) => return Answer::Known(status).into(),
            AcceptanceOutcome::Duplicate(None) => {
                return Answer::RetryLater(RetryReason::JustAccepted).into();
            }
        };
        let accepted = || OpenJob {
            record: Box::new(self.record.clone()),
            version,
        };
        Decision {
            accepted: (!state.is_final()).then(accepted),
            answer: Answer::Accepted {
                job: self.record.spec.id.clone(),
                state,
            },
        }
    }
}

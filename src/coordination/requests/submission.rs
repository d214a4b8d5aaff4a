//! Submissions. Any node records one itself; the leader hears of it by its watch.

use super::acceptance::{Acceptance, Accepted};
use super::admission::refusal;
use super::dependency_check::{Needed, Prerequisites};
use super::job_lookup::Lookup;
use super::step::{Progress, Step, StoreAnswer, StoreCall};
use super::{Answer, Context, Decision, Reason};
use crate::protocol::job::{JobSpec, JobState};
use crate::storage::records::{end_key, open_key, EndRecord, OpenRecord};
use stairstage_upgrade::fence::WriteFence;

/// Accepts a job, unless it is known or can't be taken.
pub(super) struct Submission {
    record: OpenRecord,
    clearance: WriteFence,
    stage: Stage,
}

enum Stage {
    /// What was accepted once stays accepted, by whatever version: only an unknown job is refused.
    Refusing(Lookup, Answer),
    Checking(Prerequisites),
    Accepting(Acceptance),
    /// It needs a cancelled job: its end is all that there is to record of it.
    AcceptingCancelled(Acceptance),
}

impl Submission {
    pub(super) fn begin(spec: JobSpec, context: &Context) -> (Submission, Step<Decision>) {
        let record = OpenRecord::accepted(spec, context.now_ms);
        let clearance = context.clearance;
        if let Some(refusal) = refusal(&record, context) {
            let (lookup, call) = Lookup::begin(&record.spec.id);
            let stage = Stage::Refusing(lookup, refusal);
            let submission = Submission {
                record,
                clearance,
                stage,
            };
            return (submission, Step::Call(call));
        }
        let conditions = context.settings.cluster.state.conditions();
        let (prerequisites, step) = Prerequisites::begin(&record.spec, conditions);
        let stage = Stage::Checking(prerequisites);
        let mut submission = Submission {
            record,
            clearance,
            stage,
        };
        let step = submission.checked(step);
        (submission, step)
    }

    pub(super) fn on(&mut self, answer: StoreAnswer) -> Progress<Decision> {
        Ok(match &mut self.stage {
            Stage::Refusing(lookup, refusal) => {
                let step = lookup.on(answer)?;
                step.map(|known| known.map_or(refusal.clone(), Answer::Known).into())
            }
            Stage::Checking(prerequisites) => {
                let step = prerequisites.on(answer)?;
                self.checked(step)
            }
            Stage::Accepting(acceptance) => {
                let step = acceptance.on(answer)?;
                step.map(|accepted| self.accepted(accepted, JobState::Pending))
            }
            Stage::AcceptingCancelled(acceptance) => {
                let step = acceptance.on(answer)?;
                step.map(|accepted| self.accepted(accepted, JobState::Cancelled))
            }
        })
    }

    fn checked(&mut self, step: Step<Needed>) -> Step<Decision> {
        match step {
            Step::Call(call) => Step::Call(call),
            Step::Finished(Needed::Accepted) => Step::Call(self.accept()),
            Step::Finished(Needed::Cancelled) => Step::Call(self.accept_cancelled()),
            Step::Finished(Needed::Never(why)) => {
                let (lookup, call) = Lookup::begin(&self.record.spec.id);
                self.stage = Stage::Refusing(lookup, Answer::CannotRun(why));
                Step::Call(call)
            }
        }
    }

    fn accept(&mut self) -> StoreCall {
        let id = &self.record.spec.id;
        let value = serde_json::to_value(&self.record).expect("plain data");
        let (acceptance, call) = Acceptance::begin(id, open_key(id), value, &self.clearance);
        self.stage = Stage::Accepting(acceptance);
        call
    }

    fn accept_cancelled(&mut self) -> StoreCall {
        let id = &self.record.spec.id;
        let value = EndRecord::cancelled(self.record.at_ms).to_value();
        let (acceptance, call) = Acceptance::begin(id, end_key(id), value, &self.clearance);
        self.stage = Stage::AcceptingCancelled(acceptance);
        call
    }

    fn accepted(&self, accepted: Accepted, state: JobState) -> Decision {
        let version = match accepted {
            Accepted::Now(version) => version,
            Accepted::Before(Some(status)) => return Answer::Known(status).into(),
            Accepted::Before(None) => return Answer::Later(Reason::JustAccepted).into(),
        };
        let job = self.record.spec.id.clone();
        let opened = || (Box::new(self.record.clone()), version);
        Decision {
            opened: (!state.is_end()).then(opened),
            answer: Answer::Accepted { job, state },
        }
    }
}

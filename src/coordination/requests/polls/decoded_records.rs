//! Decodes records that were read.

use super::record_keys::RecordKind;
use crate::coordination::requests::store_call::StoreAnswer;
use crate::protocol::job::JobState;
use crate::protocol::store::VersionedValue;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{FinalStateRecord, OpenRecord};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// The content of a job's record.
pub(super) enum RecordContent {
    /// The job is finished, in this state.
    Finished(JobState),
    /// The job was accepted.
    Open {
        /// The job's dependencies.
        waits_on: Vec<String>,
        /// Whether the job is cancelled. If so, its final state is recorded too.
        cancelled: bool,
    },
}

/// A decoded record.
pub(super) struct JobRecord {
    pub(super) job: String,
    pub(super) content: RecordContent,
}

/// A page of decoded records in the order of their keys.
pub(super) struct RecordPage {
    pub(super) records: Vec<JobRecord>,
    /// The last job of the page, if there are further pages.
    pub(super) last: Option<String>,
}

/// Decodes the response to the read of one record. Returns `None` if the record does not exist or can't
/// be decoded.
///
/// # Errors
///
/// [`Unavailable`] if the read failed.
pub(super) fn decode_single(
    kind: RecordKind,
    answer: StoreAnswer,
) -> Result<Option<RecordContent>, Unavailable> {
    Ok(match kind {
        RecordKind::FinalState => answer
            .decode()?
            .and_then(|found| final_state_content(&found.record)),
        RecordKind::Open => answer.decode()?.map(|open| open_content(open.record)),
    })
}

/// Decodes the response to the read of a page. Records that can't be decoded are skipped.
///
/// # Errors
///
/// [`Unavailable`] if the read failed.
pub(super) fn decode_page(
    kind: RecordKind,
    answer: StoreAnswer,
) -> Result<RecordPage, Unavailable> {
    let StoreAnswer::Listed(listed) = answer else {
        return Err(Unavailable);
    };
    let page = listed?;
    let last_key = page.items.last().map(|item| item.key.clone());
    let last = last_key.filter(|_| page.more);
    Ok(RecordPage {
        last: last.and_then(|key| key.strip_prefix(kind.prefix()).map(str::to_string)),
        records: page
            .items
            .into_iter()
            .filter_map(|item| decode_item(kind, item))
            .collect(),
    })
}

fn decode_item(kind: RecordKind, item: VersionedValue) -> Option<JobRecord> {
    let job = item.key.strip_prefix(kind.prefix())?.to_string();
    let content = match kind {
        RecordKind::FinalState => final_state_content(&decode_value(item.value)?)?,
        RecordKind::Open => open_content(decode_value(item.value)?),
    };
    Some(JobRecord { job, content })
}

fn decode_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn final_state_content(record: &FinalStateRecord) -> Option<RecordContent> {
    let is_final = record.state.is_final();
    is_final.then_some(RecordContent::Finished(record.state))
}

fn open_content(record: OpenRecord) -> RecordContent {
    RecordContent::Open {
        waits_on: record.spec.waits_on,
        cancelled: record.cancelled,
    }
}

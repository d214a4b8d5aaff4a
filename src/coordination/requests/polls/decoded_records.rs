//! Decoding the records that were read.

use super::record_keys::RecordKind;
use crate::coordination::requests::store_call::StoreAnswer;
use crate::protocol::job::JobState;
use crate::protocol::store::VersionedValue;
use crate::storage::key_value_store::Unavailable;
use crate::storage::records::{FinalStateRecord, OpenRecord};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// What a record says of its job.
pub(super) enum RecordContent {
    /// The job has ended.
    Ended(JobState),
    /// The job was accepted.
    Open {
        /// The jobs that it depends on.
        waits_on: Vec<String>,
        /// Whether it is cancelled; its end is on record then too.
        cancelled: bool,
    },
}

/// A decoded record.
pub(super) struct JobRecord {
    pub(super) job: String,
    pub(super) content: RecordContent,
}

/// Decoded records in the order of their keys.
pub(super) struct RecordPage {
    pub(super) records: Vec<JobRecord>,
    /// The last job of the page, if there are more after it.
    pub(super) last: Option<String>,
}

/// Decodes the response to the read of one record; `None` if it does not exist or can't be decoded.
///
/// # Errors
///
/// [`Unavailable`] if the state service did not answer.
pub(super) fn decode_single(
    kind: RecordKind,
    answer: StoreAnswer,
) -> Result<Option<RecordContent>, Unavailable> {
    Ok(match kind {
        RecordKind::End => answer.decode()?.and_then(|end| end_content(&end.record)),
        RecordKind::Open => answer.decode()?.map(|open| open_content(open.record)),
    })
}

/// Decodes the response to the read of a page, without the records that can't be decoded.
///
/// # Errors
///
/// [`Unavailable`] if the state service did not answer.
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
        RecordKind::End => end_content(&decode_value(item.value)?)?,
        RecordKind::Open => open_content(decode_value(item.value)?),
    };
    Some(JobRecord { job, content })
}

fn decode_value<T: DeserializeOwned>(value: Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn end_content(record: &FinalStateRecord) -> Option<RecordContent> {
    let is_end = record.state.is_final();
    is_end.then_some(RecordContent::Ended(record.state))
}

fn open_content(record: OpenRecord) -> RecordContent {
    RecordContent::Open {
        waits_on: record.spec.waits_on,
        cancelled: record.cancelled,
    }
}

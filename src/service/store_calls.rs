//! Executes the calls to the state service that the request logic, which does no I/O, asks for.

use crate::coordination::requests::{StoreAnswer, StoreCall};
use crate::storage::key_value_store::KeyValueStore;

/// Executes a call; blocks until the state service has answered or the call has failed.
pub(super) fn execute_store_call(store: &KeyValueStore, call: StoreCall) -> StoreAnswer {
    match call {
        StoreCall::Read(key) => StoreAnswer::Read(store.get(&key)),
        StoreCall::List {
            under,
            after,
            limit,
        } => StoreAnswer::Listed(store.page(&under, Some(&after), limit)),
        StoreCall::Commit(transaction) => StoreAnswer::Committed(store.commit(&transaction)),
    }
}

//! Dispatch, ledger, settle, keys and crash decisions.

//! Compares decisions over scripted and seeded inputs byte for byte with transcripts that an
//! earlier build wrote (`tests/data/*.txt`). A refactoring must not change a line of them.

mod changes;
mod dispatcher;
mod publisher;
mod stored_forms;
mod subscriber;
mod transcript;
mod version_cache;

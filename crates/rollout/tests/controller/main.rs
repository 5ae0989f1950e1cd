//! Tests of the decisions of one dispatcher's controller.

mod claims;
mod failures;
mod restarts;
mod support;
mod surges;

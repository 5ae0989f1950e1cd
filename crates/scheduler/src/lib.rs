//! corkspan: a cluster scheduler that fills machines by likely use, not by asks.
//!
//! [`rules`] holds every decision, [`interface`] the plain types it is asked and answers with.

pub mod interface;
pub mod rules;
mod state;

//! Converts the replies of nodes to the outcomes of attempts.

use corkspan_api::v1;
use corkspan_scheduler::interface::*;
use tonic::Status;

/// The outcome of an attempt, which ended before or after it was placed.
pub struct EndedAttempt {
    pub ending: AttemptResult,
    pub reason: Option<ReturnReason>,
    pub end_reason: v1::ended::EndReason,
    pub report: Option<LoadReport>,
}

impl EndedAttempt {
    pub fn with_ending(ending: AttemptResult) -> Self {
        EndedAttempt {
            ending,
            reason: None,
            end_reason: v1::ended::EndReason::Lost,
            report: None,
        }
    }
}

/// Returns the outcome for an error status, which either the connection or the node has produced.
pub fn ending_of_status(why: &Status) -> AttemptResult {
    match std::error::Error::source(why) {
        Some(_) => AttemptResult::Reset,
        None => AttemptResult::Error,
    }
}

pub fn is_valid_amount(value: f64) -> bool {
    value.is_finite() && (0.0..=1e9).contains(&value)
}

/// Returns the load report, if there is one with finite numbers.
pub fn report(load: Option<v1::LoadReport>) -> Option<LoadReport> {
    let load = load.filter(|load| load.cores.is_finite() && load.memory.is_finite())?;
    Some(LoadReport {
        available: Resources {
            cores: load.cores,
            memory: load.memory,
        },
    })
}

pub fn reason(why: v1::attempt_rejected::Rejection) -> Option<ReturnReason> {
    match why {
        v1::attempt_rejected::Rejection::Unspecified => None,
        v1::attempt_rejected::Rejection::NoCores => Some(ReturnReason::NoCores),
        v1::attempt_rejected::Rejection::NoMemory => Some(ReturnReason::NoMemory),
        v1::attempt_rejected::Rejection::QueueFull => Some(ReturnReason::QueueFull),
        v1::attempt_rejected::Rejection::NotPresent
        | v1::attempt_rejected::Rejection::BelowMinimumVersion => Some(ReturnReason::Unfit),
    }
}

pub fn result_of_end(outcome: v1::attempt_ended::AttemptOutcome) -> EndedAttempt {
    use corkspan_api::v1::ended::EndReason;
    let (ending, reason, end_reason) = match outcome {
        v1::attempt_ended::AttemptOutcome::Error => (AttemptResult::Error, None, EndReason::Error),
        v1::attempt_ended::AttemptOutcome::Ended => {
            (AttemptResult::Completed, None, EndReason::Ended)
        }
        v1::attempt_ended::AttemptOutcome::Evicted => (
            AttemptResult::Reset,
            Some(ReturnReason::Evicted),
            EndReason::Evicted,
        ),
        v1::attempt_ended::AttemptOutcome::Preempted => (
            AttemptResult::Reset,
            Some(ReturnReason::Preempted),
            EndReason::PushedOut,
        ),
        v1::attempt_ended::AttemptOutcome::Drained => (
            AttemptResult::Reset,
            Some(ReturnReason::Migrated),
            EndReason::SentAway,
        ),
        v1::attempt_ended::AttemptOutcome::Stopped => {
            (AttemptResult::Cancelled, None, EndReason::Ended)
        }
        v1::attempt_ended::AttemptOutcome::Migrated => {
            (AttemptResult::Cancelled, None, EndReason::Moved)
        }
    };
    EndedAttempt {
        ending,
        reason,
        end_reason,
        report: None,
    }
}

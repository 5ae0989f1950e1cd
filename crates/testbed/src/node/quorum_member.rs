//! The node as a quorum member: what it holds of rollouts, the minimum version, maintenance and
//! configuration versions, and how it answers for them. On the disk of a real node.

use corkspan_api::v1::{self, quorum_request::Operation};
use corkspan_config_sync::VersionCache;
use corkspan_dispatcher::{config_stream, maintenance_messages, minimum_version, rollout_messages};
use corkspan_maintenance::Machine;
use corkspan_maintenance::lease_table::LeaseTable;
use corkspan_rollout::{ClaimId, ClaimOutcome, Grant, QuorumMember, Rollout};
use corkspan_version_fencing::policy::ReportedVersions;
use corkspan_version_fencing::{MinimumVersion, ReportedVersion};
use tonic::Status;

/// What a quorum member holds.
#[derive(Default)]
pub(super) struct QuorumState {
    rollouts: QuorumMember,
    minimum_versions: corkspan_quorum::QuorumMember<MinimumVersion>,
    reported_versions: ReportedVersions,
    versions: VersionCache,
    leases: LeaseTable,
}

/// Rejection a request to a quorum member is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum QuorumRequestError {
    /// The rollout is not complete.
    #[error("no roll")]
    Rollout,
    /// A claim names no slot.
    #[error("no slot")]
    Slot,
    /// A maintenance request has not four limits.
    #[error("four limits")]
    Limits,
    /// A configuration version cannot be read.
    #[error("no version")]
    Version,
    /// The name of a configuration version cannot be read.
    #[error("no stamp")]
    VersionId,
    /// The message is empty.
    #[error("nothing is asked")]
    Empty,
}

impl From<QuorumRequestError> for Status {
    fn from(error: QuorumRequestError) -> Self {
        Status::invalid_argument(error.to_string())
    }
}

impl QuorumState {
    /// Carries out one request.
    pub fn handle(
        &mut self,
        request: v1::QuorumRequest,
    ) -> Result<v1::QuorumResponse, QuorumRequestError> {
        let mut reply = v1::QuorumResponse::default();
        match request.operation.ok_or(QuorumRequestError::Empty)? {
            Operation::Propose(rollout) => {
                let rollout = rollout_messages::rollout_from_message(&rollout)
                    .ok_or(QuorumRequestError::Rollout)?;
                let held = self.rollouts.propose(rollout);
                reply
                    .entries
                    .extend(held.map(|held| entry(held, Vec::new())));
            }
            Operation::Claim(claim) => reply.granted = self.claim(claim)?,
            Operation::Release(release) => {
                self.rollouts
                    .release(&release.service, ClaimId(release.claim));
            }
            Operation::MinimumVersion(minimum) => {
                let held = self
                    .minimum_versions
                    .propose(minimum_version::minimum_version_from_message(&minimum));
                reply.minimum_version = held.copied().map(minimum_version::minimum_version_message);
            }
            Operation::Maintenance(work) => {
                let request = maintenance_messages::request_from_message(&work)
                    .ok_or(QuorumRequestError::Limits)?;
                self.leases.propose(request);
                reply.leases = Some(maintenance_messages::lease_table_message(
                    &self.leases,
                    u32::MAX,
                ));
            }
            Operation::MaintenanceClaim(claim) => {
                reply.granted = maintenance_messages::apply_claim(&mut self.leases, &claim)
            }
            Operation::MaintenanceStep(step) => {
                maintenance_messages::apply_step(&mut self.leases, &step)
            }
            Operation::CostEstimates(bids) => {
                let costs = bids.costs.iter();
                let costs = costs.map(|(node, cost)| (Machine(*node), *cost));
                self.leases.record_cost_estimates(bids.dispatcher, costs);
            }
            Operation::StoreVersion(push) => reply.stored_version = self.store_version(push)?,
            Operation::FetchVersion(request) => {
                reply.fetched_version = self.fetch_version(&request)?;
            }
            Operation::Query(query) => self.report(&query, &mut reply),
        }
        Ok(reply)
    }

    /// Stores a configuration version. Returns the name of the newest one.
    fn store_version(
        &mut self,
        push: v1::VersionPush,
    ) -> Result<Option<v1::VersionId>, QuorumRequestError> {
        let push = config_stream::push_from_message(push).ok_or(QuorumRequestError::Version)?;
        self.versions.store(
            push.version,
            push.changes,
            push.allows_cuts,
            &push.predecessors,
        );
        let newest = self.versions.newest();
        Ok(newest.map(config_stream::version_id_message))
    }

    /// The newest configuration version, if it is later than the one that the requester runs.
    fn fetch_version(
        &self,
        request: &v1::FetchVersionRequest,
    ) -> Result<Option<v1::VersionPush>, QuorumRequestError> {
        let active = request.active.as_ref();
        let active = active.and_then(config_stream::version_id_from_message);
        let active = active.ok_or(QuorumRequestError::VersionId)?;
        let push = self.versions.push_for(active);
        Ok(push.map(config_stream::push_message))
    }

    /// Claims a slot of a rollout. Whether it is granted.
    fn claim(&mut self, claim: v1::Claim) -> Result<bool, QuorumRequestError> {
        let slot = claim.slot.ok_or(QuorumRequestError::Slot)?;
        let grant = Grant {
            claim: ClaimId(slot.claim),
            task: slot.task,
            dispatcher: slot.dispatcher,
        };
        let outcome = self
            .rollouts
            .claim(&claim.service, claim.revision, slot.slot, grant);
        Ok(outcome == ClaimOutcome::Granted)
    }

    /// Records what the dispatcher that asks runs, and reports all that it asks for.
    fn report(&mut self, query: &v1::QuorumQuery, reply: &mut v1::QuorumResponse) {
        let minimum = self.minimum_versions.entries().next();
        reply.minimum_version =
            minimum.map(|entry| minimum_version::minimum_version_message(entry.proposal));
        if let Some(v1::ActiveVersion {
            dispatcher,
            version: Some(stamp),
            on_trial,
        }) = &query.active_version
        {
            let version = ReportedVersion {
                version: stamp.number,
                on_trial: *on_trial,
            };
            self.reported_versions.report(*dispatcher, version);
        }
        if query.required_thousandths > 0 {
            let fleet_size = query.fleet_size as usize;
            reply.adopted_version = self
                .reported_versions
                .adopted(fleet_size, query.required_thousandths);
        }
        reply.stored_version = self
            .versions
            .newest()
            .map(config_stream::version_id_message);
        if query.include_leases {
            reply.leases = Some(maintenance_messages::lease_table_message(
                &self.leases,
                query.fleet_size,
            ));
        }
        if query.minimum_version_only {
            return;
        }
        for held in self.rollouts.entries() {
            let slots = held.slots.iter().map(|(slot, grant)| v1::Slot {
                slot: *slot,
                claim: grant.claim.0,
                task: grant.task.clone(),
                dispatcher: grant.dispatcher,
            });
            reply.entries.push(entry(&held.proposal, slots.collect()));
        }
    }
}

fn entry(rollout: &Rollout, slots: Vec<v1::Slot>) -> v1::QuorumEntry {
    let roll = Some(rollout_messages::rollout_message(rollout));
    v1::QuorumEntry {
        rollout: roll,
        slots,
    }
}

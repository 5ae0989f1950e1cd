//! The version service: status for operators, versions for dispatchers that are behind, and
//! requests to raise the minimum version.

use crate::active_version::{push_message, version_id_from_message};
use crate::core::DispatcherCore;
use crate::minimum_version;
use crate::version_gate;
use corkspan_api::v1;
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// The version service of a dispatcher.
#[derive(Clone)]
pub struct VersionService(pub Arc<DispatcherCore>);

#[tonic::async_trait]
impl v1::versions_server::Versions for VersionService {
    async fn status(
        &self,
        _: Request<v1::VersionStatusRequest>,
    ) -> Result<Response<v1::VersionStatus>, Status> {
        let minimum = self
            .0
            .fencing
            .minimum_version()
            .map(version_gate::minimum_version_message);
        let is_fenced = self.0.fenced_by().is_some();
        let status = self.0.active_version.status(&self.0.deployment());
        let (dispatcher, own_incarnation) = (
            self.0.deployment().cluster.scheduler_index as u32,
            self.0.fencing.incarnation,
        );
        let (is_incomplete, (history, counts)) = (
            self.0.fencing.has_unwritten_history(),
            self.0.fencing.history_messages(),
        );
        // Kept for audits by an earlier release, which does not know the kinds of operations.
        let mut counts_by_version = std::collections::HashMap::new();
        counts
            .iter()
            .for_each(|row| *counts_by_version.entry(row.version).or_default() += row.count);
        Ok(Response::new(v1::VersionStatus {
            minimum_version: minimum,
            fenced: is_fenced,
            dispatcher,
            incarnation: own_incarnation,
            intervals: history,
            operations: counts_by_version,
            operation_counts: counts,
            history_incomplete: is_incomplete,
            ..status
        }))
    }

    async fn give(
        &self,
        request: Request<v1::FetchVersionRequest>,
    ) -> Result<Response<v1::VersionPush>, Status> {
        let Some(_permit) = self.0.fencing.catch_up_permit() else {
            return Err(Status::resource_exhausted(
                "too many dispatchers are catching up from this one",
            ));
        };
        let active = request
            .into_inner()
            .active
            .as_ref()
            .and_then(version_id_from_message);
        let active =
            active.ok_or_else(|| Status::invalid_argument("active: malformed version id"))?;
        let push = self
            .0
            .active_version
            .with(|state| state.version_cache.push_for(active));
        Ok(Response::new(push.map(push_message).unwrap_or_default()))
    }

    async fn raise(
        &self,
        request: Request<v1::RaiseMinimumVersionRequest>,
    ) -> Result<Response<v1::RaiseMinimumVersionResponse>, Status> {
        minimum_version::raise(&self.0, request.into_inner().version)
            .await
            .map(Response::new)
    }
}

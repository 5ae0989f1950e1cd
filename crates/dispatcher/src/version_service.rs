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
        let floor = self
            .0
            .fencing
            .minimum_version()
            .map(version_gate::minimum_version_message);
        let shut_out = self.0.fenced_by().is_some();
        let status = self.0.active_version.status(&self.0.deployment());
        let (dispatcher, life) = (
            self.0.deployment().cluster.scheduler_index as u32,
            self.0.fencing.incarnation,
        );
        let (unwritten, (spans, counted)) = (
            self.0.fencing.has_unwritten_history(),
            self.0.fencing.history_messages(),
        );
        // Kept for audits by an earlier release, which does not know the kinds of operations.
        let mut acts = std::collections::HashMap::new();
        counted
            .iter()
            .for_each(|own| *acts.entry(own.version).or_default() += own.count);
        Ok(Response::new(v1::VersionStatus {
            minimum_version: floor,
            fenced: shut_out,
            dispatcher,
            incarnation: life,
            intervals: spans,
            operations: acts,
            operation_counts: counted,
            history_incomplete: unwritten,
            ..status
        }))
    }

    async fn give(
        &self,
        request: Request<v1::FetchVersionRequest>,
    ) -> Result<Response<v1::VersionPush>, Status> {
        let Some(_given) = self.0.fencing.catch_up_permit() else {
            return Err(Status::resource_exhausted(
                "too many dispatchers are catching up from this one",
            ));
        };
        let theirs = request
            .into_inner()
            .active
            .as_ref()
            .and_then(version_id_from_message);
        let theirs =
            theirs.ok_or_else(|| Status::invalid_argument("active: malformed version id"))?;
        let push = self
            .0
            .active_version
            .with(|state| state.version_cache.push_for(theirs));
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

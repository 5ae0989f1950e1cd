//! The active configuration version of a dispatcher, which is stored on disk and reported.

use crate::version_files;
use corkspan_api::v1;
use corkspan_config::Deployment;
use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_config_sync::{PersistedVersions, Subscriber, VersionCache, VersionPush};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use tracing::warn;

/// Number of the active version, for log lines. A process has one dispatcher.
pub static ACTIVE_VERSION_NUMBER: AtomicU64 = AtomicU64::new(0);

/// The versions that a dispatcher knows.
pub struct ActiveVersion {
    state: Mutex<ActiveVersionState>,
    /// The deployment file as read at the start. Parts that a version leaves out are taken from it.
    pub file: Deployment,
    path: Option<PathBuf>,
    /// Held while a change is decided, stored and made active, so that the end of a trial does not
    /// overtake the version that replaces it.
    pub step: async_lock::Mutex<()>,
}

pub struct ActiveVersionState {
    pub subscriber: Subscriber,
    pub control_service: Option<SocketAddr>,
    pub applied: u64,
    pub rejected: u64,
    pub superseded: u64,
    pub last_rejected: Option<(VersionId, Vec<String>)>,
    /// The versions to send to dispatchers that are behind.
    pub version_cache: VersionCache,
}

impl ActiveVersion {
    /// Reads the versions that an earlier incarnation stored, and returns the deployment that they
    /// make active.
    pub fn start(
        file: Deployment,
        now: corkspan_scheduler::interface::Ticks,
    ) -> (Self, Deployment) {
        let path = file.version_cache.clone();
        let mut persisted = path.as_deref().map(version_files::load).unwrap_or_default();
        let mut start = loop {
            let (subscriber, changed) =
                Subscriber::restore(file.shared_parts.clone(), persisted.clone(), now);
            let (version_id, texts) = (subscriber.active_version(), subscriber.active_texts());
            let active_deployment = match version_id.number {
                0 => Ok(file.clone()),
                _ => file
                    .with_version(&format!("version {}", version_id.number), texts)
                    .map(|version| Deployment {
                        version: version_id,
                        ..version
                    }),
            };
            match active_deployment {
                Ok(active_deployment) => break (subscriber, changed, active_deployment),
                // The deployment file or this program has changed since the version was stored. A
                // version that no longer fits is skipped as a whole.
                Err(why) => {
                    warn!(version = version_id.number, %why, "the stored version is not valid any more; using the one before");
                    persisted = persisted.without_newest();
                }
            }
        };
        if let (Some(path), Some(changed)) = (&path, start.1.take())
            && let Err(why) = version_files::save(path, &changed)
        {
            warn!(path = %path.display(), %why, "the start count of the version on trial can't be stored");
        }
        let (subscriber, active_deployment) = (start.0, start.2);
        if persisted.trial.is_some() && !subscriber.on_trial() {
            warn!(
                "a version on trial is rolled back: this dispatcher was started under it too many times"
            );
        }
        ACTIVE_VERSION_NUMBER.store(subscriber.active_version().number, Ordering::Relaxed);
        let (control_service, applied, rejected, superseded, last_rejected, version_cache) =
            Default::default();
        let state = ActiveVersionState {
            subscriber,
            control_service,
            applied,
            rejected,
            superseded,
            last_rejected,
            version_cache,
        };
        (
            ActiveVersion {
                state: Mutex::new(state),
                file,
                path,
                step: async_lock::Mutex::new(()),
            },
            active_deployment,
        )
    }

    /// Records versions that were active in earlier incarnations: each was accepted as a successor
    /// of the one before.
    pub fn remember_lineage(&self, previous: impl Iterator<Item = VersionId>) {
        self.with(|state| {
            let subscriber = &state.subscriber;
            let (version_id, texts) = (subscriber.active_version(), subscriber.active_texts());
            let before: Vec<VersionId> = previous
                .filter(|version| (1..version_id.number).contains(&version.number))
                .collect();
            if version_id.number > 0 {
                state
                    .version_cache
                    .record_active(version_id, texts.clone(), false, &before);
            }
        });
    }

    /// Reads or changes the state under its lock.
    pub fn with<R>(&self, call: impl FnOnce(&mut ActiveVersionState) -> R) -> R {
        call(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stores versions on disk, before they become active.
    pub async fn save(&self, persisted: &PersistedVersions) -> std::io::Result<()> {
        let Some(path) = self.path.clone() else {
            return Ok(());
        };
        let persisted = persisted.clone();
        blocking::unblock(move || version_files::save(&path, &persisted)).await
    }

    /// Returns the deployment that results from the file and these parts of a version.
    pub fn deployment(
        &self,
        version_id: VersionId,
        texts: &SharedParts,
    ) -> Result<Deployment, Vec<String>> {
        if version_id.number == 0 {
            return Ok(self.file.clone());
        }
        let read = self
            .file
            .with_version(&format!("version {}", version_id.number), texts);
        let read = read.map(|version| Deployment {
            version: version_id,
            ..version
        });
        read.map_err(|faults| faults.to_string().lines().map(String::from).collect())
    }

    /// Returns the status for operators. `active_deployment` is the deployment that the decisions
    /// use, so the status does not depend on the answers on the stream.
    pub fn status(&self, active_deployment: &Deployment) -> v1::VersionStatus {
        self.with(|state| {
            let running = state.subscriber.active_version();
            let persisted = state.subscriber.persisted();
            let (last_rejected, why) = state.last_rejected.clone().unzip();
            v1::VersionStatus {
                active: Some(version_id_message(running)),
                on_trial: state.subscriber.on_trial(),
                last_good: persisted
                    .last_good
                    .as_ref()
                    .map(|version| version_id_message(version.id)),
                control_service: state
                    .control_service
                    .map(|service| service.to_string())
                    .unwrap_or_default(),
                text: active_deployment.shared_parts.to_deployment_text(),
                given_up: persisted
                    .rolled_back
                    .iter()
                    .copied()
                    .map(version_id_message)
                    .collect(),
                applied: state.applied,
                rejected: state.rejected,
                superseded: state.superseded,
                last_rejected: last_rejected.map(version_id_message),
                reasons: why.unwrap_or_default(),
                ..v1::VersionStatus::default()
            }
        })
    }
}

/// Converts a version id to a message.
pub fn version_id_message(version_id: VersionId) -> v1::VersionId {
    v1::VersionId {
        number: version_id.number,
        digest: version_id.digest.to_string(),
    }
}

/// Converts a version to a message for a dispatcher or a quorum member.
pub fn push_message(push: VersionPush) -> v1::VersionPush {
    v1::VersionPush {
        nonce: push.nonce,
        version: Some(version_id_message(push.version)),
        ancestors: push
            .predecessors
            .into_iter()
            .map(version_id_message)
            .collect(),
        base: push.base.map(version_id_message),
        parts: push
            .changes
            .iter()
            .map(|(name, text)| (name.into(), text.into()))
            .collect(),
        removed: push.removed,
        allows_large_cuts: push.allows_cuts,
    }
}

/// Converts a message to a version. Returns none if one of its version ids is malformed.
pub fn push_from_message(push: v1::VersionPush) -> Option<VersionPush> {
    Some(VersionPush {
        nonce: push.nonce,
        version: version_id_from_message(push.version.as_ref()?)
            .filter(|version_id| version_id.number > 0)?,
        predecessors: push
            .ancestors
            .iter()
            .filter_map(version_id_from_message)
            .collect(),
        base: match &push.base {
            Some(base) => Some(version_id_from_message(base)?),
            None => None,
        },
        changes: push.parts.into_iter().collect(),
        removed: push.removed,
        allows_cuts: push.allows_large_cuts,
    })
}

/// Converts a message to a version id. Returns none if the digest is malformed.
pub fn version_id_from_message(message: &v1::VersionId) -> Option<VersionId> {
    Some(VersionId {
        number: message.number,
        digest: Digest::from_hex(&message.digest)?,
    })
}

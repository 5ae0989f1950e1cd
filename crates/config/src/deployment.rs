//! The configuration of a dispatcher, from its file and from streamed versions.

use crate::addresses::{address, addresses};
use crate::limits::Limits;
use crate::minimum_version::{MinimumVersionSettings, minimum_version};
use crate::schema::{self, DocumentKind};
use crate::sexp::{self, Diagnostic, Diagnostics, Form, Parts};
use crate::shared_settings::SharedSettings;
use crate::version::{SharedParts, VersionId};
use corkspan_scheduler::interface::{Cluster, MachineId, Ticks, ZoneId};
use ipnet::IpNet;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// The whole configuration of a dispatcher: its own file, with the shared parts of the active
/// version.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service, which lists the nodes (`roster`).
    pub discovery_service: SocketAddr,
    /// The file in which the last endpoint list is cached (`remembered`).
    pub endpoint_cache: Option<PathBuf>,
    /// A value that is mixed with the start time to seed random draws.
    pub seed: u64,
    /// The nodes that form the quorum, the same at every dispatcher (`keepers`).
    pub quorum_members: Vec<MachineId>,
    /// The file in which rollouts and this dispatcher's claims are stored (`rolls`).
    pub rollout_store: Option<PathBuf>,
    /// The services that stream versions (`control`).
    pub control_services: Vec<SocketAddr>,
    /// The file in which the last good version is cached (`versions`).
    pub version_cache: Option<PathBuf>,
    /// The input of the placement decisions. Its lists are in the order of the names below.
    pub cluster: Cluster,
    /// The names of the zones (`halls`).
    pub zones: Vec<String>,
    /// The names of the machine types (`kinds`).
    pub machine_types: Vec<String>,
    /// The names of the service classes (`tracks`).
    pub service_classes: Vec<String>,
    /// The names of the tenants (`accounts`).
    pub tenants: Vec<String>,
    /// Limits and timeouts (`bounds`).
    pub limits: Limits,
    /// The networks from which clients may connect; if empty, clients may connect from anywhere
    /// (`allow`).
    pub allowed_networks: Vec<IpNet>,
    /// The settings of the minimum version; `None` if it is not followed (`floor`).
    pub minimum_version: Option<MinimumVersionSettings>,
    /// The time between two reconciliations of maintenance, in ticks; `None` if there is no
    /// maintenance.
    pub maintenance_interval: Option<Ticks>,
    /// The text of the shared parts.
    pub shared_parts: SharedParts,
    /// The version of the shared parts; its number is 0 if they are from the file.
    pub version: VersionId,
}

impl Deployment {
    /// Parses and checks a file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file, in the order of the text.
    pub fn load(path: &Path) -> Result<Self, Diagnostics> {
        Self::parse(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Parses and checks a text; `file` is its name in messages.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text, in the order of the text.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        schema::check(DocumentKind::File, file, text)?;
        let known: Vec<&str> = schema::local_part_names()
            .chain(schema::shared_part_names())
            .collect();
        let read = sexp::with_form(file, text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = SharedSettings::read(&parts)?;
            let cluster = Cluster {
                zone: ZoneId(parts.required("hall")?.choice(&shared.zones)?),
                scheduler_index: parts.required("number")?.integer(0, 99_999)? as usize,
                ..shared.cluster
            };
            Ok(Deployment {
                listen: address(parts.required("listen")?)?,
                discovery_service: address(parts.required("roster")?)?,
                endpoint_cache: path(&parts, "remembered")?,
                quorum_members: parts.get_or("keepers", Vec::new(), machine_ids)?,
                rollout_store: path(&parts, "rolls")?,
                control_services: parts.get_or("control", Vec::new(), addresses)?,
                version_cache: path(&parts, "versions")?,
                seed: parts.get_or("seed", 0, |form| form.integer(0, u64::MAX))?,
                cluster,
                zones: shared.zones,
                machine_types: shared.machine_types,
                service_classes: shared.service_classes,
                tenants: shared.tenants,
                limits: shared.limits,
                allowed_networks: shared.allowed_networks,
                minimum_version: parts.get("floor").map(minimum_version).transpose()?,
                maintenance_interval: parts
                    .get("maintenance")
                    .map(maintenance_interval)
                    .transpose()?,
                version: VersionId {
                    number: 0,
                    digest: shared.shared_parts.digest(),
                },
                shared_parts: shared.shared_parts,
            })
        });
        Ok(read?)
    }

    /// Returns this configuration with the shared parts replaced by those of a streamed version.
    /// Ids are assigned from that version alone. The caller sets the number of
    /// [`Deployment::version`]. `name` is the version's name in messages.
    ///
    /// # Errors
    ///
    /// Returns all errors in the version. It is an error if this dispatcher's zone is missing.
    pub fn with_version(&self, name: &str, parts: &SharedParts) -> Result<Self, Diagnostics> {
        // If a form were listed under another part's name, a change or removal of that part would
        // affect the form.
        for (part, text) in parts.iter() {
            sexp::with_form(&format!("{name}, {part}"), text, part, |_| Ok(()))?;
        }
        let text = parts.to_deployment_text();
        schema::check(DocumentKind::Version, name, &text)?;
        let known: Vec<&str> = schema::shared_part_names().collect();
        let read = sexp::with_form(name, &text, "deployment", |form| {
            let parts = form.parts(&known)?;
            let shared = SharedSettings::read(&parts)?;
            let zone = &self.zones[self.cluster.zone.0];
            let position = shared.zones.iter().position(|known| known == zone);
            let missing = || {
                parts
                    .required("halls")
                    .map(|form| form.diagnostic(format!("lacks this dispatcher's `{zone}`")))
            };
            let zone = match position {
                Some(position) => ZoneId(position),
                None => return Err(missing()?),
            };
            let cluster = Cluster {
                zone,
                scheduler_index: self.cluster.scheduler_index,
                ..shared.cluster
            };
            Ok(Deployment {
                cluster,
                zones: shared.zones,
                machine_types: shared.machine_types,
                service_classes: shared.service_classes,
                tenants: shared.tenants,
                limits: shared.limits,
                allowed_networks: shared.allowed_networks,
                version: VersionId {
                    number: self.version.number,
                    digest: shared.shared_parts.digest(),
                },
                shared_parts: shared.shared_parts,
                ..self.clone()
            })
        });
        Ok(read?)
    }

    /// Returns whether a client may connect from this address.
    pub fn allows_client(&self, address: IpAddr) -> bool {
        let address = address.to_canonical();
        self.allowed_networks.is_empty()
            || self
                .allowed_networks
                .iter()
                .any(|network| network.contains(&address))
    }
}

fn path(parts: &Parts, name: &str) -> Result<Option<PathBuf>, Diagnostic> {
    let text = parts.get(name).map(Form::string).transpose()?;
    Ok(text.map(PathBuf::from))
}

/// Parses `(maintenance (every 500 ms))`.
fn maintenance_interval(form: &Form) -> Result<Ticks, Diagnostic> {
    form.parts(&["every"])?
        .get_or("every", 5_000, |form| match form.time()? {
            time if time >= 1_000 => Ok(time),
            _ => Err(form.diagnostic("must be 100 ms or more")),
        })
}

/// Parses `(keepers 3 5 8)`.
fn machine_ids(form: &Form) -> Result<Vec<MachineId>, Diagnostic> {
    let ids = form.integers(u64::from(u32::MAX))?;
    Ok(ids.into_iter().map(|id| MachineId(id as u32)).collect())
}

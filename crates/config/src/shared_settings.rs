//! Parses the parts of a deployment that all dispatchers share, from a file or a streamed version.

use crate::addresses::networks;
use crate::limits::{Limits, limits};
use crate::schema;
use crate::sexp::{Diagnostic, Form, Parts};
use crate::version::SharedParts;
use corkspan_scheduler::interface::{
    Cluster, Domain, MachineTypeId, RetrySafety, ServiceClass, SlowStart, Tenant, ZoneId,
};
use ipnet::IpNet;

const SERVICE_CLASS_KEYWORDS: [&str; 9] = [
    "repeat",
    "within",
    "window",
    "contract-time",
    "calm",
    "priority",
    "kind",
    "spread",
    "most",
];

/// The settings that all dispatchers share.
pub(crate) struct SharedSettings {
    /// The cluster, not specific to a dispatcher: its zone and scheduler index are 0.
    pub cluster: Cluster,
    pub zones: Vec<String>,
    pub machine_types: Vec<String>,
    pub service_classes: Vec<String>,
    pub tenants: Vec<String>,
    pub limits: Limits,
    pub allowed_networks: Vec<IpNet>,
    pub shared_parts: SharedParts,
}

impl SharedSettings {
    pub fn read(parts: &Parts) -> Result<Self, Diagnostic> {
        let zones = names(parts.required("halls")?.symbols()?);
        let machine_type_forms = parts.required("kinds")?.user_named_forms()?;
        let machine_types = machine_type_forms
            .iter()
            .map(Form::cores_and_memory)
            .collect::<Result<Vec<_>, _>>()?;
        let machine_type_names = names(machine_type_forms.iter().map(|form| form.name).collect());
        let class_forms = parts.required("tracks")?.user_named_forms()?;
        let service_classes = class_forms
            .iter()
            .map(|form| service_class(form, &machine_type_names));
        let tenant_forms = parts.get_or("accounts", Vec::new(), Form::user_named_forms)?;
        let cluster = Cluster {
            zone: ZoneId(0),
            scheduler_index: 0,
            scheduler_count: parts.required("schedulers")?.integer(1, 100_000)? as usize,
            machine_types,
            service_classes: service_classes.collect::<Result<Vec<_>, _>>()?,
            tenants: tenant_forms
                .iter()
                .map(tenant)
                .collect::<Result<Vec<_>, _>>()?,
            admission_limit: parts.required("accepts")?.cores_and_memory()?,
            preempts: parts.get_or("makes-room", false, Form::boolean)?,
            max_attempts: parts.get_or("shots", 3, |form| Ok(form.integer(1, 100)? as usize))?,
            placed_means_running: parts
                .required("placed-when")?
                .choice(&["accepted", "running"])?
                == 1,
            list_reports_capacity: parts.get_or("shows-room", false, Form::boolean)?,
            health_checks: parts.get_or("may-probe", false, Form::boolean)?,
            list_poll_interval: Some(parts.get_or("ask-list", 100_000, Form::time)?),
            slow_start: slow_start(parts.required("cold")?)?,
            // This dispatcher does not report when it sent an attempt that waited for a connection.
            connect_timeout: 0,
            cross_zone_cost: parts.get_or("other-hall-price", 0.0, Form::non_negative)?,
            caller_detects_losses: true,
        };
        Ok(SharedSettings {
            cluster,
            zones,
            machine_types: machine_type_names,
            service_classes: names(class_forms.iter().map(|form| form.name).collect()),
            tenants: names(tenant_forms.iter().map(|form| form.name).collect()),
            limits: parts.get("bounds").map_or(Ok(Limits::default()), limits)?,
            allowed_networks: parts.get_or("allow", Vec::new(), networks)?,
            shared_parts: schema::shared_part_names()
                .filter_map(|name| Some((name.to_string(), parts.get(name)?.to_text())))
                .collect(),
        })
    }
}

fn names(symbols: Vec<&str>) -> Vec<String> {
    symbols.into_iter().map(String::from).collect()
}

/// Parses `(cold (lasts 14 s) (window 1 s) (offers 29))`.
fn slow_start(form: &Form) -> Result<SlowStart, Diagnostic> {
    let parts = form.parts(&["lasts", "window", "offers"])?;
    Ok(SlowStart {
        duration: parts.required("lasts")?.time()?,
        window: parts.required("window")?.time()?,
        max_attempts: parts.required("offers")?.non_negative()?,
    })
}

/// Parses `(NAME (share-cores 10))`.
fn tenant(form: &Form) -> Result<Tenant, Diagnostic> {
    let parts = form.parts(&["share-cores"])?;
    Ok(Tenant {
        quota_cores: parts
            .get("share-cores")
            .map(Form::non_negative)
            .transpose()?,
    })
}

/// Parses `(NAME (repeat idempotent) (contract-time 600 ms) …)`.
fn service_class(form: &Form, machine_types: &[String]) -> Result<ServiceClass, Diagnostic> {
    let parts = form.parts(&SERVICE_CLASS_KEYWORDS)?;
    let retry_safety = retry_safety(&parts)?;
    let spread = match parts.get("spread") {
        Some(form) => Some((
            domain(form)?,
            parts.required("most")?.integer(1, 1_000_000)? as usize,
        )),
        None => None,
    };
    if let (None, Some(part)) = (spread, parts.get("most")) {
        return Err(part.diagnostic("is only valid with `(spread …)`"));
    }
    Ok(ServiceClass {
        retry_safety,
        latency_objective: parts.required("contract-time")?.time()?,
        target_utilization: parts.get_or("calm", 1.0, Form::positive)?,
        priority: parts.get_or("priority", 0, |form| Ok(form.integer(0, 3)? as u8))?,
        machine_type: parts
            .get("kind")
            .map(|form| form.choice(machine_types).map(MachineTypeId))
            .transpose()?,
        spread,
    })
}

fn retry_safety(parts: &Parts) -> Result<RetrySafety, Diagnostic> {
    let form = parts.required("repeat")?;
    let safety = match form.choice(&["idempotent", "deduplicated", "unrepeatable"])? {
        0 => RetrySafety::Idempotent,
        1 => RetrySafety::Deduplicated {
            scope: parts.get("within").map(domain).transpose()?,
            window: parts.required("window")?.time()?,
        },
        _ => RetrySafety::NotRetryable,
    };
    if !matches!(safety, RetrySafety::Deduplicated { .. })
        && let Some(part) = parts.get("within").or(parts.get("window"))
    {
        return Err(part.diagnostic("is only valid with `(repeat deduplicated)`"));
    }
    Ok(safety)
}

/// Parses a domain, as in `(within cell)` and `(spread hall)`.
fn domain(form: &Form) -> Result<Domain, Diagnostic> {
    let domains = [Domain::Machine, Domain::Cell, Domain::Zone];
    Ok(domains[form.choice(&["machine", "cell", "hall"])?])
}

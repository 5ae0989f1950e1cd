//! Parses the content of a client's set-up.

use super::{
    CLASS, DESCRIPTION, IDEMPOTENCY_KEY, Message, REQUIREMENTS, TASK_NAME, TENANT, TIME_LEFT,
};
use crate::InvalidField;

/// The content of a set-up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The id of the task, assigned by the client.
    pub task: u64,
    /// The name of its service class.
    pub class: String,
    /// The time until the client stops waiting for the answer, in milliseconds; 0 if the set-up of
    /// a running task does not give it.
    pub time_left_ms: u64,
    /// The name of its tenant.
    pub tenant: Option<String>,
    /// The client's name for the task.
    pub name: String,
    /// The idempotency key: repeated set-ups with the same key run once.
    pub idempotency_key: Option<String>,
    /// Requested cores, more than 0.
    pub cores: f64,
    /// Requested memory, more than 0.
    pub memory: f64,
    /// The name of the service.
    pub service: String,
    /// The node on which the task is already running.
    pub running_on: Option<String>,
    /// What the node is to run.
    pub description: String,
}

/// The pairs of [`REQUIREMENTS`]. Unknown names are ignored, since later versions may add names.
#[derive(Default)]
struct Requirements<'a> {
    cores: Option<f64>,
    memory: Option<f64>,
    service: Option<&'a str>,
    running_on: Option<&'a str>,
}

impl<'a> Requirements<'a> {
    fn parse(text: &'a str) -> Result<Self, InvalidField> {
        let mut requirements = Requirements::default();
        for pair in text.split(';').filter(|pair| !pair.is_empty()) {
            let amount = |value: &str| match value.parse::<f64>() {
                Ok(value) if value.is_finite() && value > 0.0 => Ok(Some(value)),
                _ => Err(InvalidField::invalid("amount", pair)),
            };
            match pair.split_once(':') {
                Some(("cores", value)) => requirements.cores = amount(value)?,
                Some(("memory", value)) => requirements.memory = amount(value)?,
                Some(("service", value)) => requirements.service = Some(value),
                Some(("at", value)) => requirements.running_on = Some(value),
                Some(_) => {}
                None => return Err(InvalidField::invalid("requirement", pair)),
            }
        }
        Ok(requirements)
    }
}

impl TryFrom<&Message> for SetUp {
    type Error = InvalidField;

    fn try_from(message: &Message) -> Result<SetUp, InvalidField> {
        let required = |code, what| {
            message
                .text(code, what)?
                .filter(|text| !text.is_empty())
                .ok_or(InvalidField::Missing(what))
        };
        let requirements = Requirements::parse(required(REQUIREMENTS, "requirements")?)?;
        let time_left = message.text(TIME_LEFT, "time left")?;
        let time_left_ms = match (time_left, requirements.running_on) {
            (Some(text), _) => text
                .parse()
                .map_err(|_| InvalidField::invalid("time left", text))?,
            (None, Some(_)) => 0,
            (None, None) => return Err(InvalidField::Missing("time left")),
        };
        Ok(SetUp {
            task: message.task,
            class: required(CLASS, "service class")?.into(),
            time_left_ms,
            tenant: message.text(TENANT, "tenant")?.map(str::to_string),
            name: required(TASK_NAME, "task name")?.into(),
            idempotency_key: message
                .text(IDEMPOTENCY_KEY, "idempotency key")?
                .map(str::to_string),
            cores: requirements.cores.ok_or(InvalidField::Missing("cores"))?,
            memory: requirements.memory.ok_or(InvalidField::Missing("memory"))?,
            service: requirements
                .service
                .filter(|name| !name.is_empty())
                .ok_or(InvalidField::Missing("service"))?
                .into(),
            running_on: requirements.running_on.map(str::to_string),
            description: message
                .text(DESCRIPTION, "description")?
                .unwrap_or_default()
                .into(),
        })
    }
}

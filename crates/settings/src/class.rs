//! Converts the settings of service classes to the scheduler's service classes.

use crate::{Settings, SettingsError, ticks_from_us};
use corkspan_scheduler::interface::*;

impl Settings {
    /// Returns the service class with this index.
    pub(crate) fn service_class(&self, index: usize) -> Result<ServiceClass, SettingsError> {
        let (class, family) = (&self.classes[index], &self.family_info);
        let missing = |key| SettingsError::Missing { key, class: index };
        let retry_safety = self.retry_safety(index)?;
        let spread = self.spread(index)?;
        let machine_type = *family
            .required_machine_type
            .get(index)
            .ok_or_else(|| missing("needs-kind"))?;
        Ok(ServiceClass {
            retry_safety,
            latency_objective: ticks_from_us(class.latency_objective_us),
            target_utilization: *family
                .target_utilization
                .get(index)
                .ok_or_else(|| missing("class-calm"))?,
            priority: *family
                .priority_by_class
                .get(index)
                .ok_or_else(|| missing("priority-by-class"))?,
            machine_type: usize::try_from(machine_type).ok().map(MachineTypeId),
            spread,
        })
    }

    /// Returns whether a set-up of the class may be retried, and where duplicates are dropped.
    fn retry_safety(&self, index: usize) -> Result<RetrySafety, SettingsError> {
        let class = &self.classes[index];
        let scope = match class.effect.as_str() {
            "pure" => return Ok(RetrySafety::Idempotent),
            "side_effect" => return Ok(RetrySafety::NotRetryable),
            "token" => match class.deduplication_scope.as_deref() {
                Some("all") => None,
                Some("zone") => Some(Domain::Zone),
                Some("cell") => Some(Domain::Cell),
                other => {
                    return Err(SettingsError::DeduplicationScope {
                        class: index,
                        scope: other.map(String::from),
                    });
                }
            },
            other => {
                return Err(SettingsError::Effect {
                    class: index,
                    effect: other.into(),
                });
            }
        };
        let window_us = class
            .deduplication_window_us
            .ok_or(SettingsError::Missing {
                key: "memory-span-us",
                class: index,
            })?;
        Ok(RetrySafety::Deduplicated {
            scope,
            window: ticks_from_us(window_us),
        })
    }

    /// Returns the domain over which the class's tasks of a service are spread, and the maximum
    /// number of them in one domain.
    fn spread(&self, index: usize) -> Result<Option<(Domain, usize)>, SettingsError> {
        let missing = |key| SettingsError::Missing { key, class: index };
        let family = &self.family_info;
        let max_per_domain = *family
            .max_per_domain
            .get(index)
            .ok_or_else(|| missing("class-most"))?;
        let spread_by = family
            .spread_domain
            .get(index)
            .ok_or_else(|| missing("spread-by"))?;
        let domain = match spread_by.as_str() {
            "silent" => return Ok(None),
            "machine" => Domain::Machine,
            "cell" => Domain::Cell,
            "zone" => Domain::Zone,
            other => {
                return Err(SettingsError::SpreadBy {
                    class: index,
                    spread_by: other.into(),
                });
            }
        };
        Ok(Some((domain, max_per_domain)))
    }
}

//! Estimates of the service time for each class of calls.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use super::service_time::ServiceTimeEstimate;

/// Maximum number of classes with their own estimate; calls of further classes use the overall one.
const MAX_CLASSES: usize = 256;

new_key_type! {
    /// Key of a class in a [`ServiceTimeTable`].
    pub(crate) struct ClassKey;
}

/// Service time estimates by class and over all classes.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimeTable {
    overall: ServiceTimeEstimate,
    estimates: SlotMap<ClassKey, ServiceTimeEstimate>,
    by_name: HashMap<String, ClassKey>,
}

impl ServiceTimeTable {
    /// Returns the key of the class `name`, added if it is new; `None` if the table is full.
    pub(crate) fn get_or_insert(&mut self, name: &str) -> Option<ClassKey> {
        if let Some(&key) = self.by_name.get(name) {
            return Some(key);
        }
        if self.estimates.len() >= MAX_CLASSES {
            return None;
        }
        let key = self.estimates.insert(ServiceTimeEstimate::default());
        self.by_name.insert(name.to_owned(), key);
        Some(key)
    }

    /// Returns the key of the class `name`, if the table has it.
    pub(crate) fn find(&self, name: &str) -> Option<ClassKey> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn record(&mut self, class: Option<ClassKey>, sample: std::time::Duration) {
        self.overall.record(sample);
        if let Some(estimate) = class.and_then(|class| self.estimates.get_mut(class)) {
            estimate.record(sample);
        }
    }

    /// Estimate over all classes.
    pub(crate) fn overall(&self) -> &ServiceTimeEstimate {
        &self.overall
    }

    /// Estimate of a class, or the overall one before the first sample of the class.
    pub(crate) fn estimate(&self, class: Option<ClassKey>) -> &ServiceTimeEstimate {
        let estimate = class.and_then(|class| self.estimates.get(class));
        estimate
            .filter(|estimate| !estimate.mean().is_zero())
            .unwrap_or(&self.overall)
    }
}

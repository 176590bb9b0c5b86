//! How long the target takes for the calls of each class.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use super::service_time::ServiceTime;

/// Classes that are told apart; the calls of further ones share one estimate.
const MAX_CLASSES: usize = 256;

new_key_type! {
    /// Key of a class in a [`ClassTable`].
    pub(crate) struct ClassKey;
}

/// Service times by class, and over all of them.
#[derive(Debug, Default)]
pub(crate) struct ClassTable {
    all: ServiceTime,
    times: SlotMap<ClassKey, ServiceTime>,
    by_name: HashMap<String, ClassKey>,
}

impl ClassTable {
    /// The class `name`; `None` if it shares the estimate of all calls.
    pub(crate) fn enter(&mut self, name: &str) -> Option<ClassKey> {
        if let Some(&key) = self.by_name.get(name) {
            return Some(key);
        }
        if self.times.len() >= MAX_CLASSES {
            return None;
        }
        let key = self.times.insert(ServiceTime::default());
        self.by_name.insert(name.to_owned(), key);
        Some(key)
    }

    /// The class `name`, if it has been entered.
    pub(crate) fn find(&self, name: &str) -> Option<ClassKey> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn note(&mut self, class: Option<ClassKey>, sample: std::time::Duration) {
        self.all.note(sample);
        if let Some(time) = class.and_then(|class| self.times.get_mut(class)) {
            time.note(sample);
        }
    }

    /// Service time over all classes.
    pub(crate) fn all(&self) -> &ServiceTime {
        &self.all
    }

    /// Service time of a class, or over all of them before its first sample.
    pub(crate) fn of(&self, class: Option<ClassKey>) -> &ServiceTime {
        let time = class.and_then(|class| self.times.get(class));
        time.filter(|time| !time.mean().is_zero())
            .unwrap_or(&self.all)
    }
}

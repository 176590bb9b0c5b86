//! Borrowed views of a snapshot as a node of a given schema version reads it.

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{PolicyForm, Record, RecordKind, RouteForm, ServiceForm};

use crate::key::RecordKey;
use crate::snapshot::ConfigSnapshot;

/// A snapshot read up to a schema version.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotView<'a> {
    snapshot: &'a ConfigSnapshot,
    schema: u32,
}

/// A route with its name.
#[derive(Clone, Copy, Debug)]
pub struct RouteView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// The newest form that the reader knows.
    pub form: &'a RouteForm,
}

/// A service definition with its name.
#[derive(Clone, Copy, Debug)]
pub struct ServiceView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// The newest form that the reader knows.
    pub form: &'a ServiceForm,
}

/// An endpoint policy with its name.
#[derive(Clone, Copy, Debug)]
pub struct PolicyView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// The newest form that the reader knows.
    pub form: &'a PolicyForm,
}

impl<'a> SnapshotView<'a> {
    /// Views `snapshot` as a reader that knows schema versions up to `schema`.
    pub fn new(snapshot: &'a ConfigSnapshot, schema: u32) -> Self {
        Self { snapshot, schema }
    }

    /// Version of the snapshot.
    pub fn version(&self) -> u64 {
        self.snapshot.version()
    }

    fn readable_body(&self, record: &'a Record) -> Option<&'a Body> {
        let readable = record
            .forms
            .iter()
            .rev()
            .find(|form| form.schema <= self.schema);
        readable.and_then(|form| form.body.as_ref())
    }

    fn record(&self, kind: RecordKind, name: &str) -> Option<&'a Record> {
        self.snapshot.get(&RecordKey::new(kind, name))
    }

    /// The route for a call: the longest matching prefix, and for equal prefixes the one that names
    /// the host.
    pub fn route_for(&self, host: &str, path: &str) -> Option<RouteView<'a>> {
        let routes = self
            .snapshot
            .records_of_kind(RecordKind::Route)
            .filter_map(|record| {
                let Body::Route(form) = self.readable_body(record)? else {
                    return None;
                };
                route_matches(form, host, path).then_some(RouteView {
                    name: &record.name,
                    form,
                })
            });
        routes.max_by_key(|route| (route.form.prefix.len(), !route.form.host.is_empty()))
    }

    /// The service definition `name`.
    pub fn service(&self, name: &str) -> Option<ServiceView<'a>> {
        let record = self.record(RecordKind::Service, name)?;
        let Body::Service(form) = self.readable_body(record)? else {
            return None;
        };
        Some(ServiceView {
            name: &record.name,
            form,
        })
    }

    /// The endpoint policy `name`.
    pub fn policy(&self, name: &str) -> Option<PolicyView<'a>> {
        let record = self.record(RecordKind::Policy, name)?;
        let Body::Policy(form) = self.readable_body(record)? else {
            return None;
        };
        Some(PolicyView {
            name: &record.name,
            form,
        })
    }

    /// The endpoint policy of service `name`.
    pub fn service_policy(&self, name: &str) -> Option<PolicyView<'a>> {
        self.policy(&self.service(name)?.form.policy)
    }

    /// Keys of the records that have no form this reader knows.
    pub fn unreadable(&self) -> Vec<RecordKey> {
        let records = self.snapshot.records();
        records
            .filter(|record| self.readable_body(record).is_none())
            .map(RecordKey::from_record)
            .collect()
    }
}

/// Whether a prefix ends at a path segment, so that `/slot` does not match `/slots`.
fn route_matches(route: &RouteForm, host: &str, path: &str) -> bool {
    let host_matches = route.host.is_empty() || route.host == host;
    let rest = path.strip_prefix(route.prefix.as_str());
    let segment_ends =
        |rest: &str| rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/');
    host_matches && rest.is_some_and(segment_ends)
}

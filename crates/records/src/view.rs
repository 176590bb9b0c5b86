//! Borrowed views of a snapshot, restricted to the schema versions that a node reads.

use agatedeck_wire::record_form::Body;
use agatedeck_wire::{PolicyForm, Record, RecordKind, RouteForm, ServiceForm, WorkspaceForm};

use crate::key::RecordKey;
use crate::key_digest::KeyDigest;
use crate::snapshot::ConfigSnapshot;

/// A view of a snapshot that ignores forms newer than a schema version.
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
    /// Form with the highest schema version that the view includes.
    pub form: &'a RouteForm,
}

/// A service definition with its name.
#[derive(Clone, Copy, Debug)]
pub struct ServiceView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// Form with the highest schema version that the view includes.
    pub form: &'a ServiceForm,
}

/// A policy with its name.
#[derive(Clone, Copy, Debug)]
pub struct PolicyView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// Form with the highest schema version that the view includes.
    pub form: &'a PolicyForm,
}

/// A workspace with its name.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceView<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// Form with the highest schema version that the view includes.
    pub form: &'a WorkspaceForm,
}

impl<'a> SnapshotView<'a> {
    /// Creates a view of `snapshot` with the schema versions up to and including `schema`.
    pub fn new(snapshot: &'a ConfigSnapshot, schema: u32) -> Self {
        Self { snapshot, schema }
    }

    /// Returns the version of the snapshot.
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

    /// Returns the route for a call: the one with the longest matching prefix, and among equal
    /// prefixes the one that names the host.
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

    /// Returns the definition of service `name`.
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

    /// Returns the policy `name`.
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

    /// Returns the policy that service `name` refers to.
    pub fn service_policy(&self, name: &str) -> Option<PolicyView<'a>> {
        self.policy(&self.service(name)?.form.policy)
    }

    /// Whether calls need the key of a workspace, except on public routes.
    pub fn has_workspaces(&self) -> bool {
        let mut workspaces = self.snapshot.records_of_kind(RecordKind::Workspace);
        workspaces.next().is_some()
    }

    /// Returns the workspace `name`.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceView<'a>> {
        let record = self.record(RecordKind::Workspace, name)?;
        let Body::Workspace(form) = self.readable_body(record)? else {
            return None;
        };
        Some(WorkspaceView {
            name: &record.name,
            form,
        })
    }

    /// Returns the workspace that holds the key with this digest.
    pub fn workspace_of_key(&self, digest: &KeyDigest) -> Option<WorkspaceView<'a>> {
        self.workspace(self.snapshot.workspace_name(digest)?)
    }

    /// Returns the keys of the records without a form that the view includes.
    pub fn unreadable(&self) -> Vec<RecordKey> {
        let records = self.snapshot.records();
        records
            .filter(|record| self.readable_body(record).is_none())
            .map(RecordKey::from_record)
            .collect()
    }
}

/// Whether a route matches a call. A prefix matches whole path segments only, so that `/slot` does
/// not match `/slots`.
fn route_matches(route: &RouteForm, host: &str, path: &str) -> bool {
    let host_matches = route.host.is_empty() || route.host == host;
    let rest = path.strip_prefix(route.prefix.as_str());
    let segment_ends =
        |rest: &str| rest.is_empty() || rest.starts_with('/') || route.prefix.ends_with('/');
    host_matches && rest.is_some_and(segment_ends)
}

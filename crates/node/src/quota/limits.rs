//! The limits of the active configuration.

use std::collections::BTreeMap;

use agatedeck_calls::QuotaLimit;
use agatedeck_records::SnapshotView;
use agatedeck_wire::{RecordKind, WorkspaceForm};

use crate::context::NodeContext;

/// Limit of a workspace; `None` if its rate is 0.
pub(crate) fn quota_limit(context: &NodeContext, form: &WorkspaceForm) -> Option<QuotaLimit> {
    (form.rate_per_s > 0.0).then_some(QuotaLimit {
        rate_per_s: form.rate_per_s,
        burst: form.burst,
        window: context.settings.calls.quota_window,
    })
}

/// Limits of the workspaces that have one, by name.
pub(super) fn read_limits(context: &NodeContext) -> BTreeMap<String, QuotaLimit> {
    let served = context.config.borrow();
    let view = SnapshotView::new(&served.snapshot, context.local_member.reads_schema);
    let records = served.snapshot.records_of_kind(RecordKind::Workspace);
    let workspaces = records.filter_map(|record| view.workspace(&record.name));
    let limits = workspaces.filter_map(|workspace| {
        let limit = quota_limit(context, workspace.form)?;
        Some((workspace.name.to_owned(), limit))
    });
    limits.collect()
}

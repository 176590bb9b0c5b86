//! Collects the active version of every node in the mesh. One node of each failure domain queries
//! the members of its domain.

use std::collections::BTreeMap;
use std::time::Duration;

use agatedeck_control::JoinState;
use agatedeck_wire::{
    ControlPlaneRequest, ControlPlaneResponse, Member, NodeReport, SpreadScope, Survey,
    SurveyAnswer,
};
use futures::future::join_all;
use kameo::actor::ActorRef;
use tokio::time::Instant;

use crate::config::{ConfigActor, ReadLatest};
use crate::context::NodeContext;
use crate::peer::PeerAddress;

/// Timeout of the report of one node.
const NODE_REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of the report of one failure domain.
const DOMAIN_REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of members of another failure domain that are queried for its report.
const MAX_QUERIED_MEMBERS: usize = 3;

/// Collects the reports of `scope`: this node, its failure domain, or every failure domain.
pub(crate) async fn survey(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
    scope: SpreadScope,
) -> SurveyAnswer {
    let nodes = match scope {
        SpreadScope::Self_ | SpreadScope::Subtree | SpreadScope::Collect => {
            vec![local_report(context, config).await]
        }
        SpreadScope::Domain => survey_domain(context, config).await,
        SpreadScope::Region => survey_mesh(context, config).await,
    };
    SurveyAnswer { nodes }
}

/// Returns the report of this node.
pub(crate) async fn local_report(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
) -> NodeReport {
    let served = context.served();
    let refusal = config
        .ask(ReadLatest)
        .await
        .ok()
        .and_then(|latest| latest.refusal);
    let reason = refusal.map_or(String::new(), |(version, reason)| {
        format!("version {version} is refused: {reason}")
    });
    // The join completes once the floor is checked. The version becomes active after that, when
    // witnesses have recorded it or their timeout has passed.
    let phase = match *context.phase.borrow() {
        JoinState::Serving if !served.may_serve => JoinState::Fetching,
        phase => phase,
    };
    NodeReport {
        version: served.snapshot.version(),
        phase: phase.to_string(),
        reason,
        ..unreachable_report(&context.local_member)
    }
}

/// Returns the report for a member that did not answer.
fn unreachable_report(member: &Member) -> NodeReport {
    NodeReport {
        node: member.node.clone(),
        domain: member.domain.clone(),
        region: member.region.clone(),
        version: 0,
        phase: "unreachable".to_owned(),
        reason: "the node did not answer".to_owned(),
    }
}

async fn survey_domain(context: &NodeContext, config: &ActorRef<ConfigActor>) -> Vec<NodeReport> {
    let table = context.table();
    let local_member = &context.local_member;
    let others = table
        .live()
        .filter(|member| member.domain == local_member.domain && member.node != local_member.node);
    let reports = others.map(|member| async move {
        let answer = query_member(context, member, SpreadScope::Self_, NODE_REPORT_TIMEOUT).await;
        answer
            .and_then(|nodes| nodes.into_iter().next())
            .unwrap_or_else(|| unreachable_report(member))
    });
    let mut reports = join_all(reports).await;
    reports.push(local_report(context, config).await);
    reports
}

async fn survey_mesh(context: &NodeContext, config: &ActorRef<ConfigActor>) -> Vec<NodeReport> {
    let table = context.table();
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in table
        .live()
        .filter(|member| member.domain != context.local_member.domain)
    {
        domains.entry(&member.domain).or_default().push(member);
    }
    let surveys = domains
        .into_values()
        .map(|members| survey_remote_domain(context, members));
    let (own_domain, other_domains) =
        futures::join!(survey_domain(context, config), join_all(surveys));
    let mut reports: Vec<NodeReport> = other_domains
        .into_iter()
        .flatten()
        .chain(own_domain)
        .collect();
    reports.sort_by(|left, right| (&left.domain, &left.node).cmp(&(&right.domain, &right.node)));
    reports
}

/// Queries up to [`MAX_QUERIED_MEMBERS`] members of another failure domain, one at a time, until one
/// reports the whole domain.
async fn survey_remote_domain(context: &NodeContext, members: Vec<&Member>) -> Vec<NodeReport> {
    for member in members.iter().take(MAX_QUERIED_MEMBERS) {
        if let Some(nodes) =
            query_member(context, member, SpreadScope::Domain, DOMAIN_REPORT_TIMEOUT).await
        {
            return nodes;
        }
    }
    members.into_iter().map(unreachable_report).collect()
}

async fn query_member(
    context: &NodeContext,
    member: &Member,
    scope: SpreadScope,
    timeout: Duration,
) -> Option<Vec<NodeReport>> {
    let peer = PeerAddress::from_member(member)?;
    let request = ControlPlaneRequest::Survey {
        survey: Survey {
            scope: scope.into(),
        },
    };
    match context
        .transport
        .send(&peer, request, Instant::now() + timeout)
        .await
    {
        Ok(ControlPlaneResponse::Survey(answer)) => Some(answer.nodes),
        _ => None,
    }
}

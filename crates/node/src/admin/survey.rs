//! Collects the versions in force over the mesh: one node of each failure domain asks its members.

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

/// Time allowed for one node to report itself.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time allowed for one node to report its failure domain.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reports `scope`: this node, its failure domain, or every failure domain.
pub(crate) async fn survey(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
    scope: SpreadScope,
) -> SurveyAnswer {
    let nodes = match scope {
        SpreadScope::Self_ | SpreadScope::Subtree => vec![own_report(context, config).await],
        SpreadScope::Domain => survey_domain(context, config).await,
        SpreadScope::Region => survey_all(context, config).await,
    };
    SurveyAnswer { nodes }
}

/// The report of this node.
pub(crate) async fn own_report(
    context: &NodeContext,
    config: &ActorRef<ConfigActor>,
) -> NodeReport {
    let served = context.served();
    let refusal = config
        .ask(ReadLatest)
        .await
        .ok()
        .and_then(|held| held.refusal);
    let reason = refusal.map_or(String::new(), |(version, reason)| {
        format!("version {version} is refused: {reason}")
    });
    // The join ends when the floor is checked, up to the witnesses' timeout before it is in force.
    let phase = match *context.phase.borrow() {
        JoinState::Serving if !served.may_serve => JoinState::Fetching,
        phase => phase,
    };
    NodeReport {
        version: served.snapshot.version(),
        phase: phase.to_string(),
        reason,
        ..unreached(&context.local_member)
    }
}

/// The report of a member that gave none.
fn unreached(member: &Member) -> NodeReport {
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
    let own = &context.local_member;
    let others = table
        .live()
        .filter(|member| member.domain == own.domain && member.node != own.node);
    let reports = others.map(|member| async move {
        let answer = ask(context, member, SpreadScope::Self_, REPORT_TIMEOUT).await;
        answer
            .and_then(|nodes| nodes.into_iter().next())
            .unwrap_or_else(|| unreached(member))
    });
    let mut reports = join_all(reports).await;
    reports.push(own_report(context, config).await);
    reports
}

async fn survey_all(context: &NodeContext, config: &ActorRef<ConfigActor>) -> Vec<NodeReport> {
    let table = context.table();
    let mut domains: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in table
        .live()
        .filter(|member| member.domain != context.local_member.domain)
    {
        domains.entry(&member.domain).or_default().push(member);
    }
    let others = domains
        .into_values()
        .map(|members| survey_through(context, members));
    let (own, others) = futures::join!(survey_domain(context, config), join_all(others));
    let mut reports: Vec<NodeReport> = others.into_iter().flatten().chain(own).collect();
    reports.sort_by(|left, right| (&left.domain, &left.node).cmp(&(&right.domain, &right.node)));
    reports
}

/// Asks the members of a domain in turn for the report of the whole domain.
async fn survey_through(context: &NodeContext, members: Vec<&Member>) -> Vec<NodeReport> {
    for member in members.iter().take(3) {
        if let Some(nodes) = ask(context, member, SpreadScope::Domain, DOMAIN_TIMEOUT).await {
            return nodes;
        }
    }
    members.into_iter().map(unreached).collect()
}

async fn ask(
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

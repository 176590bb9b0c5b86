//! Decisions of the control plane with the full view of one node, without sockets.
//!
//! The events are those of an ordinary day at the two-year size, as section 1.4 of the design states
//! them: 6,400 changes, 265 restarts, one probe a second. The herd is the restart of one failure
//! domain.

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfigReplica, DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope,
    FailureDetector, FloorTable, JoinResponder, MemberEffect, MemberSettings, MemberTable,
    ReplicaSettings, ResponderSettings, TreeDissemination, VersionEffect, select_witnesses,
};
use agatedeck_wire::{
    ControlPlaneRequest, FloorRecord, Join, Member, MemberStatus, Offer, Probe, ProbeAnswer, Sync,
};
use miette::{IntoDiagnostic, Result, miette};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::SlopeSettings;
use super::event_clock::{EventCost, EventPlan, SentMessages};
use crate::fleet::ProcessUsage;
use crate::records::ConfigMirror;
use crate::statistics::{count_f64, to_f64};

const DOMAINS: usize = 27;
const REGIONS: usize = 8;
const SERVICES: usize = 130;
const FULL_MEMBERS: usize = 2_700;

const CHANGES_PER_DAY: f64 = 6_400.0;
const RESTARTS_PER_DAY: f64 = 265.0;
const PROBES_PER_DAY: f64 = 86_400.0;

/// Updates that one restart spreads: draining, left, and alive again.
const UPDATES_PER_RESTART: f64 = 3.0;

/// Times per day that each failure domain of the fleet restarts as a herd; the design expects one
/// failure every other month.
const HERDS_PER_DAY: f64 = 1.0 / 60.0;

/// Number of an incarnation that is later than all others here.
const LATER_INCARNATION: u64 = 1_000_000;

/// Copies of a configuration whose memory is measured together.
const STATE_COPIES: u64 = 100;

/// Events that handle the whole view are repeated fewer times.
const COSTLY_DIVISOR: u32 = 40;

/// The members of a fleet of `count` nodes; the first is the node itself.
pub(super) fn members(count: usize) -> Vec<Member> {
    (0..count).map(member).collect()
}

fn member(index: usize) -> Member {
    let domain = index % DOMAINS;
    let host = format!("10.{}.{}.{}", domain, index / 250, index % 250 + 1);
    Member {
        node: format!("node-{index}"),
        incarnation: 1_700_000_000_000,
        status: MemberStatus::Alive.into(),
        domain: format!("region-{}-{domain}", domain % REGIONS),
        region: format!("region-{}", domain % REGIONS),
        service: format!("service-{}", index % SERVICES),
        control_address: format!("{host}:7402"),
        peer_address: format!("{host}:7401"),
        reads_schema: 2,
        version: 1,
        ..Member::default()
    }
}

/// The view of one node and what it decides with.
struct NodeView {
    members: Vec<Member>,
    detector: FailureDetector,
    rng: SmallRng,
    now: Instant,
}

impl NodeView {
    fn new(members: Vec<Member>, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::default();
        let settings = MemberSettings::default();
        let mut detector = FailureDetector::new(&members[0], &settings, now, &mut rng);
        detector.merge_member_list(&members, now);
        Self {
            members,
            detector,
            rng,
            now,
        }
    }

    fn own(&self) -> &Member {
        &self.members[0]
    }

    fn pass(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    /// A member other than the node itself.
    fn other(&self, number: u32) -> &Member {
        &self.members[1 + number as usize % (self.members.len() - 1)]
    }
}

/// Measures all control decisions at each size of the view and of the configuration.
pub(super) fn measure(settings: &SlopeSettings) -> Result<Vec<EventCost>> {
    let mut costs = Vec::new();
    let mut views = Vec::new();
    // All views are built before any is used, so that none is put into memory that another left.
    for count in &settings.members {
        let members = members(*count);
        let before = ProcessUsage::of_this_process()?;
        let view = NodeView::new(members, settings.seed);
        let after = ProcessUsage::of_this_process()?;
        let kib = after.anonymous_kib.saturating_sub(before.anonymous_kib);
        costs.push(state_cost(
            "view",
            "members",
            *count,
            *count == FULL_MEMBERS,
            kib,
        ));
        views.push(view);
    }
    for view in &mut views {
        measure_membership(settings, view, &mut costs)?;
        measure_spread(settings, view, &mut costs)?;
        measure_herd(settings, view, &mut costs)?;
    }
    for services in &settings.decision_services {
        measure_versions(settings, *services, &mut costs)?;
    }
    Ok(costs)
}

fn state_cost(
    event: &'static str,
    driver: &'static str,
    size: usize,
    full_size: bool,
    kib: u64,
) -> EventCost {
    EventCost {
        role: "state",
        event,
        driver,
        size,
        full_size,
        events: 0,
        cpu_us_per_event: 0.0,
        messages_per_event: 0.0,
        bytes_per_event: 0.0,
        events_per_day: None,
        state_bytes: Some(kib * 1_024),
    }
}

/// The plan of an event that each node has, and whose cost is driven by the number of members.
fn plan(
    view: &NodeView,
    role: &'static str,
    event: &'static str,
    events: u32,
    events_per_day: Option<f64>,
) -> EventPlan {
    EventPlan {
        role,
        event,
        driver: "members",
        size: view.members.len(),
        full_size: view.members.len() == FULL_MEMBERS,
        events,
        events_per_day,
    }
}

type Effects = Vec<MemberEffect>;

fn count_effects(effects: &Effects, sent: &mut SentMessages) -> Result<()> {
    for effect in effects {
        match effect.clone() {
            MemberEffect::Probe { probe, .. } => sent.add(&ControlPlaneRequest::Probe { probe })?,
            MemberEffect::RequestIndirectProbe { request, .. } => {
                sent.add(&ControlPlaneRequest::ProbeThrough { probe: request })?;
            }
            MemberEffect::Sync { sync, .. } => sent.add(&ControlPlaneRequest::Sync { sync })?,
            // Announcements are counted with the deliveries of the tree.
            MemberEffect::Broadcast(_) | MemberEffect::ViewChanged => {}
        }
    }
    Ok(())
}

/// An answer as of a node with the same view.
fn agreeing_answer(view: &NodeView) -> ProbeAnswer {
    ProbeAnswer {
        incarnation: view.own().incarnation,
        version: 1,
        member_digest: view.detector.table().digest(),
        updates: Vec::new(),
    }
}

fn measure_membership(
    settings: &SlopeSettings,
    view: &mut NodeView,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let (events, costly) = (settings.events, (settings.events / COSTLY_DIVISOR).max(1));
    let tick = plan(
        view,
        "ordinary node",
        "probe period",
        events,
        Some(PROBES_PER_DAY),
    );
    let answer = agreeing_answer(view);
    costs.push(tick.measure(
        |_| {
            view.pass(Duration::from_secs(1));
            let effects = view.detector.tick(view.now, &mut view.rng);
            for effect in &effects {
                if let MemberEffect::Probe { node, .. } = effect {
                    view.detector.on_probe_answer(node, &answer, view.now);
                }
            }
            effects
        },
        count_effects,
    )?);
    let received = plan(
        view,
        "ordinary node",
        "probe received",
        events,
        Some(PROBES_PER_DAY),
    );
    let digest = view.detector.table().digest();
    costs.push(received.measure_quiet(|number| {
        let sender = view.other(number);
        let probe = Probe {
            node: sender.node.clone(),
            incarnation: sender.incarnation,
            version: 1,
            member_digest: digest,
            updates: Vec::new(),
        };
        view.detector.on_probe(&probe, view.now)
    })?);
    let updates = Some(RESTARTS_PER_DAY * UPDATES_PER_RESTART);
    let restart = plan(view, "ordinary node", "member update", events, updates);
    costs.push(restart.measure(
        |number| {
            // Three updates in a row are one restart of the same node.
            let round = u64::from(number / 3);
            let mut update = view.other(number / 3).clone();
            update.incarnation += round;
            match number % 3 {
                0 => update.status = MemberStatus::Draining.into(),
                1 => update.status = MemberStatus::Left.into(),
                _ => update.incarnation += 1,
            }
            view.detector.merge_updates(&[update], view.now)
        },
        count_effects,
    )?);
    let publish = plan(
        view,
        "ordinary node",
        "view published (copy)",
        costly,
        updates,
    );
    costs.push(publish.measure_quiet(|_| view.detector.table().clone())?);
    let sync = plan(
        view,
        "ordinary node",
        "sync answered, one domain differs",
        costly,
        None,
    );
    let mut digests = view.detector.table().domain_digests();
    digests[0].digest ^= 1;
    costs.push(sync.measure(
        |_| {
            let sync = Sync {
                digests: digests.clone(),
                entries: Vec::new(),
            };
            view.detector.on_sync(&sync, view.now).0
        },
        |answer, sent| {
            let (digests, entries) = (answer.digests.clone(), answer.entries.clone());
            sent.add(&ControlPlaneRequest::Sync {
                sync: Sync { digests, entries },
            })
        },
    )?);
    Ok(())
}

/// A change of the size that `ConfigMirror` makes.
fn offer(scope: DisseminationScope, version: u64, delta: &[u8]) -> Offer {
    let (scope, position) = scope.to_message();
    Offer {
        version,
        delta: delta.to_vec(),
        scope: scope.into(),
        position,
    }
}

fn measure_spread(
    settings: &SlopeSettings,
    view: &mut NodeView,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let events = (settings.events / 4).max(1);
    let mut mirror = ConfigMirror::default();
    mirror.first_change(1)?;
    let delta = mirror.next_change()?.compressed;
    let policy = TreeDissemination {
        store_region: "region-0".to_owned(),
        ..Default::default()
    };
    let table = view.detector.table().clone();
    let own = view.own().clone();
    // Each version has one origin, one relay for each other region and one head for each other
    // failure domain without a relay; the work moves over all nodes.
    let fleet = count_f64(view.members.len());
    let orders = CHANGES_PER_DAY + RESTARTS_PER_DAY * UPDATES_PER_RESTART;
    let (relays, domains) = (count_f64(REGIONS - 1), count_f64(DOMAINS));
    let heads = domains - 1.0 - relays;
    let scopes = [
        ("origin", DisseminationScope::AllRegions, 1.0 / fleet),
        ("relay", DisseminationScope::Region, relays / fleet),
        ("head", DisseminationScope::Domain, heads / fleet),
        (
            "other",
            DisseminationScope::Subtree(0),
            1.0 - domains / fleet,
        ),
    ];
    let domain_size = u32::try_from(view.members.len() / DOMAINS).into_diagnostic()?;
    for (event, scope, share) in scopes {
        let plan = plan(view, "relay", event, events, Some(orders * share));
        costs.push(plan.measure(
            |number| {
                let salt = u64::from(number);
                // All positions below the head in turn; most of them have no children.
                let scope = match scope {
                    DisseminationScope::Subtree(_) => DisseminationScope::Subtree(
                        1 + number % domain_size.max(2).saturating_sub(1),
                    ),
                    other => other,
                };
                policy.next_hops(&table, &own, DisseminationRequest { salt, scope })
            },
            |deliveries: &Vec<DisseminationHop>, sent| {
                for delivery in deliveries {
                    let offer = offer(delivery.scope, 2, &delta);
                    sent.add(&ControlPlaneRequest::Offer { offer })?;
                }
                Ok(())
            },
        )?);
    }
    // Every node looks each second; a reader in the region of the store twice as often.
    let role_check = plan(view, "reader", "role check", events, Some(PROBES_PER_DAY));
    costs.push(role_check.measure_quiet(|_| policy.poll_interval(&table, &own))?);
    let per_day = Some(CHANGES_PER_DAY);
    let record = plan(
        view,
        "ordinary node",
        "choice of witnesses",
        events,
        per_day,
    );
    costs.push(record.measure(
        |_| select_witnesses(&table, &own, 2).len(),
        |count, sent| {
            let record = FloorRecord {
                node: own.node.clone(),
                version: 2,
            };
            for _ in 0..*count {
                let record = record.clone();
                sent.add(&ControlPlaneRequest::RecordFloor { record })?;
            }
            Ok(())
        },
    )?);
    Ok(())
}

/// One failure domain other than the node's own restarts at once.
fn measure_herd(
    settings: &SlopeSettings,
    view: &mut NodeView,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let own_domain = view.own().domain.clone();
    let other = view
        .members
        .iter()
        .find(|member| member.domain != own_domain);
    let domain = other.map(|member| member.domain.clone());
    let domain = domain.ok_or_else(|| miette!("the view has a single domain"))?;
    let herd: Vec<Member> = view
        .members
        .iter()
        .filter(|m| m.domain == domain)
        .cloned()
        .collect();
    let per_day = Some(HERDS_PER_DAY * count_f64(DOMAINS));
    let herd_plan = plan(view, "herd", "domain left and returned", 5, per_day);
    let mut incarnation = LATER_INCARNATION + 1_700_000_000_000;
    costs.push(herd_plan.measure(
        |_| {
            let mut all = Vec::new();
            for status in [MemberStatus::Left, MemberStatus::Alive] {
                incarnation += 1;
                for node in &herd {
                    let update = Member {
                        status: status.into(),
                        incarnation,
                        ..node.clone()
                    };
                    all.extend(view.detector.merge_updates(&[update], view.now));
                    // The node publishes a copy of the table for each change of the view.
                    drop(view.detector.table().clone());
                }
            }
            all
        },
        count_effects,
    )?);
    let costly = (settings.events / COSTLY_DIVISOR).max(1);
    let joins = RESTARTS_PER_DAY / to_f64(u64::try_from(view.members.len()).into_diagnostic()?);
    let join_plan = plan(view, "herd", "join answered", costly, Some(joins));
    let table: &MemberTable = view.detector.table();
    let mut responder = JoinResponder::new(&ResponderSettings::default());
    let floor_table = FloorTable::new(&own_domain);
    let joining = view.other(1).clone();
    costs.push(join_plan.measure(
        |_| {
            let join = Join {
                member: Some(joining.clone()),
            };
            let answer = responder.answer_join(&join, table, &floor_table, 1, view.now);
            responder.release(&joining.node);
            answer.members
        },
        |members, sent| {
            // The answer is counted at the size of its entries.
            sent.add(&ControlPlaneRequest::Sync {
                sync: Sync {
                    digests: Vec::new(),
                    entries: members.clone(),
                },
            })
        },
    )?);
    Ok(())
}

fn new_holder() -> Result<ConfigReplica> {
    let mut holder = ConfigReplica::new(ReplicaSettings::default()).into_diagnostic()?;
    holder.raise_floor(0);
    Ok(holder)
}

/// Memory of a configuration in force, in the mean over many of them: a single one may fit into
/// memory that the process already has.
fn configuration_state(delta: &[u8], services: usize, full_size: bool) -> Result<EventCost> {
    let before = ProcessUsage::of_this_process()?;
    let mut holders = Vec::new();
    for _ in 0..STATE_COPIES {
        let mut holder = new_holder()?;
        holder.offer(1, delta, Instant::default());
        holder.on_witnesses_recorded(1);
        holders.push(holder);
    }
    let after = ProcessUsage::of_this_process()?;
    // Each rounded down to whole KiB, which is exact enough for the sizes here.
    let kib = after.anonymous_kib.saturating_sub(before.anonymous_kib) / STATE_COPIES;
    Ok(state_cost(
        "configuration",
        "services",
        services,
        full_size,
        kib,
    ))
}

fn measure_versions(
    settings: &SlopeSettings,
    services: usize,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let events = (settings.events / 4).max(1);
    let mut mirror = ConfigMirror::default();
    let first = mirror.first_change(services)?;
    let mut deltas = vec![first.compressed];
    for _ in 0..events {
        deltas.push(mirror.next_change()?.compressed);
    }
    let full_size = services == SERVICES;
    let plan = |role, event, events, events_per_day| EventPlan {
        role,
        event,
        driver: "services",
        size: services,
        full_size,
        events,
        events_per_day,
    };
    costs.push(configuration_state(&deltas[0], services, full_size)?);
    let mut holder = new_holder()?;
    let now = Instant::default();
    let mut take = |number: usize| {
        let version = u64::try_from(number + 1).unwrap_or(u64::MAX);
        let (_, effects) = holder.offer(version, &deltas[number], now);
        let asked = effects
            .iter()
            .any(|effect| matches!(effect, VersionEffect::RecordFloor { .. }));
        holder.on_witnesses_recorded(version);
        asked
    };
    take(0);
    let changes = plan(
        "ordinary node",
        "change taken",
        events,
        Some(CHANGES_PER_DAY),
    );
    costs.push(changes.measure_quiet(|number| take(number as usize + 1))?);
    if holder.current().version() != u64::from(events) + 1 {
        return Err(miette!("the holder did not take every change"));
    }
    let held = holder.current().version() - 1;
    let pulls = plan(
        "ordinary node",
        "pull of one version answered",
        events,
        None,
    );
    costs.push(pulls.measure_quiet(|_| holder.answer_pull(held))?);
    Ok(())
}

//! Benchmarks of the control-plane decisions of one node with a full membership view, without
//! sockets.
//!
//! Event rates are those of an ordinary day at the two-year size (section 1.4 of the design): 6,400
//! changes, 265 restarts and one probe per second. The role `herd` is the simultaneous restart of
//! one failure domain (thundering herd).

use std::time::Duration;

use agatedeck_clock::Instant;
use agatedeck_control::{
    ConfigReplica, DisseminationHop, DisseminationPolicy, DisseminationRequest, DisseminationScope,
    FailureDetector, FloorTable, JoinResponder, MemberEffect, MemberSettings, MemberTable,
    ReplicaSettings, ResponderSettings, TreeDissemination, VersionEffect, VersionOrigin,
    select_witnesses,
};
use agatedeck_wire::{
    ControlPlaneRequest, FloorRecord, Join, Member, MemberStatus, Offer, Probe, ProbeAnswer, Rumor,
    SpreadScope, Sync,
};
use miette::{IntoDiagnostic, Result, miette};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::SlopeSettings;
use super::event_cost::{EventBenchmark, EventCost, MessageTotals};
use crate::change_generator::ChangeGenerator;
use crate::fleet::ProcessUsage;
use crate::statistics::{u64_to_f64, usize_to_f64};

const DOMAIN_COUNT: usize = 27;
const REGION_COUNT: usize = 8;
const FULL_SIZE_SERVICE_COUNT: usize = 130;
const FULL_SIZE_MEMBER_COUNT: usize = 2_700;

const CHANGES_PER_DAY: f64 = 6_400.0;
const RESTARTS_PER_DAY: f64 = 265.0;
const PROBES_PER_DAY: f64 = 86_400.0;

/// Member updates that one restart disseminates: draining, left, and alive again.
const UPDATES_PER_RESTART: f64 = 3.0;

/// Restarts of each whole failure domain per day; the design expects one failure every other month.
const DOMAIN_RESTARTS_PER_DAY: f64 = 1.0 / 60.0;

/// Added to the initial incarnation to get one later than any other in these benchmarks.
const INCARNATION_OFFSET: u64 = 1_000_000;

/// Copies of a configuration over which its memory is averaged.
const REPLICA_COPY_COUNT: u64 = 100;

/// Divisor of the event count for events that process the whole view.
const COSTLY_EVENT_DIVISOR: u32 = 40;

/// Builds the member list of a fleet of `count` nodes. The first is the local node.
pub(super) fn build_members(count: usize) -> Vec<Member> {
    (0..count).map(build_member).collect()
}

fn build_member(index: usize) -> Member {
    let domain = index % DOMAIN_COUNT;
    let host = format!("10.{}.{}.{}", domain, index / 250, index % 250 + 1);
    Member {
        node: format!("node-{index}"),
        incarnation: 1_700_000_000_000,
        status: MemberStatus::Alive.into(),
        domain: format!("region-{}-{domain}", domain % REGION_COUNT),
        region: format!("region-{}", domain % REGION_COUNT),
        service: format!("service-{}", index % FULL_SIZE_SERVICE_COUNT),
        control_address: format!("{host}:7402"),
        peer_address: format!("{host}:7401"),
        reads_schema: 2,
        version: 1,
        ..Member::default()
    }
}

/// Membership view of one node with a failure detector, random number generator and simulated
/// clock.
struct MembershipFixture {
    members: Vec<Member>,
    detector: FailureDetector,
    rng: SmallRng,
    now: Instant,
}

impl MembershipFixture {
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

    fn local_member(&self) -> &Member {
        &self.members[0]
    }

    fn advance_clock(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    /// Returns a member other than the local node; `number` wraps around.
    fn remote_member(&self, number: u32) -> &Member {
        &self.members[1 + number as usize % (self.members.len() - 1)]
    }
}

/// Measures all control-plane decisions at each size of the view and of the configuration.
///
/// # Errors
///
/// Fails if the memory of this process cannot be read, a message cannot be encoded or a change is
/// not applied.
pub(super) fn measure_control_decisions(settings: &SlopeSettings) -> Result<Vec<EventCost>> {
    let mut costs = Vec::new();
    let mut fixtures = Vec::new();
    // All views are built before any is used, so that none reuses memory freed by another.
    for count in &settings.members {
        let members = build_members(*count);
        let before = ProcessUsage::of_current_process()?;
        let fixture = MembershipFixture::new(members, settings.seed);
        let after = ProcessUsage::of_current_process()?;
        let kib = after.anonymous_kib.saturating_sub(before.anonymous_kib);
        costs.push(memory_cost(
            "view",
            "members",
            *count,
            *count == FULL_SIZE_MEMBER_COUNT,
            kib,
        ));
        fixtures.push(fixture);
    }
    for fixture in &mut fixtures {
        measure_membership(settings, fixture, &mut costs)?;
        measure_dissemination(settings, fixture, &mut costs)?;
        measure_domain_restart(settings, fixture, &mut costs)?;
    }
    for services in &settings.decision_services {
        measure_config_replica(settings, *services, &mut costs)?;
    }
    Ok(costs)
}

/// Cost entry for state that occupies `kib` KiB.
fn memory_cost(
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

/// Benchmark of an event whose cost depends on the number of members.
fn member_benchmark(
    fixture: &MembershipFixture,
    role: &'static str,
    event: &'static str,
    events: u32,
    events_per_day: Option<f64>,
) -> EventBenchmark {
    EventBenchmark {
        role,
        event,
        driver: "members",
        size: fixture.members.len(),
        full_size: fixture.members.len() == FULL_SIZE_MEMBER_COUNT,
        events,
        events_per_day,
    }
}

type MemberEffects = Vec<MemberEffect>;

fn count_effect_messages(effects: &MemberEffects, totals: &mut MessageTotals) -> Result<()> {
    for effect in effects {
        match effect.clone() {
            MemberEffect::Probe { probe, .. } => {
                totals.count_request(&ControlPlaneRequest::Probe { probe })?;
            }
            MemberEffect::RequestIndirectProbe { request, .. } => {
                totals.count_request(&ControlPlaneRequest::ProbeThrough { probe: request })?;
            }
            MemberEffect::Sync { sync, .. } => {
                totals.count_request(&ControlPlaneRequest::Sync { sync })?;
            }
            MemberEffect::ReportUpdates(report) => {
                let rumor = Rumor {
                    scope: SpreadScope::Collect.into(),
                    members: report.members,
                    ..Rumor::default()
                };
                totals.count_request(&ControlPlaneRequest::Rumor { rumor })?;
            }
            // Broadcasts are counted as hops of the dissemination tree.
            MemberEffect::Broadcast(_) | MemberEffect::ViewChanged => {}
        }
    }
    Ok(())
}

/// Probe answer of a node whose view equals the local one; the name of the node is to be set.
fn matching_probe_answer(fixture: &MembershipFixture) -> ProbeAnswer {
    ProbeAnswer {
        incarnation: fixture.local_member().incarnation,
        version: 1,
        member_digest: fixture.detector.table().digest(),
        ..Default::default()
    }
}

fn measure_membership(
    settings: &SlopeSettings,
    fixture: &mut MembershipFixture,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let (events, costly_events) = (
        settings.events,
        (settings.events / COSTLY_EVENT_DIVISOR).max(1),
    );
    let probe_period = member_benchmark(
        fixture,
        "ordinary node",
        "probe period",
        events,
        Some(PROBES_PER_DAY),
    );
    let mut answer = matching_probe_answer(fixture);
    costs.push(probe_period.measure(
        |_| {
            fixture.advance_clock(Duration::from_secs(1));
            let effects = fixture.detector.tick(fixture.now, &mut fixture.rng);
            for effect in &effects {
                if let MemberEffect::Probe { node, .. } = effect {
                    answer.node.clone_from(node);
                    fixture.detector.on_probe_answer(node, &answer, fixture.now);
                }
            }
            effects
        },
        count_effect_messages,
    )?);
    let probe_received = member_benchmark(
        fixture,
        "ordinary node",
        "probe received",
        events,
        Some(PROBES_PER_DAY),
    );
    let digest = fixture.detector.table().digest();
    costs.push(probe_received.measure_without_messages(|number| {
        let sender = fixture.remote_member(number);
        let probe = Probe {
            node: sender.node.clone(),
            incarnation: sender.incarnation,
            version: 1,
            member_digest: digest,
            updates: Vec::new(),
        };
        fixture.detector.on_probe(&probe, fixture.now)
    })?);
    let updates_per_day = Some(RESTARTS_PER_DAY * UPDATES_PER_RESTART);
    let member_update = member_benchmark(
        fixture,
        "ordinary node",
        "member update",
        events,
        updates_per_day,
    );
    costs.push(member_update.measure(
        |number| {
            // Three consecutive updates make up one restart of the same node.
            let round = u64::from(number / 3);
            let mut update = fixture.remote_member(number / 3).clone();
            update.incarnation += round;
            match number % 3 {
                0 => update.status = MemberStatus::Draining.into(),
                1 => update.status = MemberStatus::Left.into(),
                _ => update.incarnation += 1,
            }
            fixture.detector.merge_updates(&[update], fixture.now)
        },
        count_effect_messages,
    )?);
    let view_publication = member_benchmark(
        fixture,
        "ordinary node",
        "view published (copy)",
        costly_events,
        updates_per_day,
    );
    costs.push(view_publication.measure_without_messages(|_| fixture.detector.table().clone())?);
    let sync_answer = member_benchmark(
        fixture,
        "ordinary node",
        "sync answered, one domain differs",
        costly_events,
        None,
    );
    let mut digests = fixture.detector.table().domain_digests();
    digests[0].digest ^= 1;
    costs.push(sync_answer.measure(
        |_| {
            let sync = Sync {
                digests: digests.clone(),
                entries: Vec::new(),
            };
            fixture.detector.on_sync(&sync, fixture.now).0
        },
        |answer, totals| {
            let (digests, entries) = (answer.digests.clone(), answer.entries.clone());
            totals.count_request(&ControlPlaneRequest::Sync {
                sync: Sync { digests, entries },
            })
        },
    )?);
    Ok(())
}

/// Builds an offer of one version.
fn build_offer(scope: DisseminationScope, version: u64, delta: &[u8]) -> Offer {
    let (scope, position) = scope.to_message();
    Offer {
        version,
        delta: delta.to_vec(),
        scope: scope.into(),
        position,
    }
}

fn measure_dissemination(
    settings: &SlopeSettings,
    fixture: &mut MembershipFixture,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let events = (settings.events / 4).max(1);
    let mut generator = ChangeGenerator::default();
    generator.first_change(1)?;
    let delta = generator.next_change()?.compressed_delta;
    let policy = TreeDissemination {
        store_region: "region-0".to_owned(),
        ..Default::default()
    };
    let table = fixture.detector.table().clone();
    let local_member = fixture.local_member().clone();
    // Each version has one origin, one relay per other region and one head per other failure domain
    // without a relay. These roles are distributed evenly over all nodes.
    let node_count = usize_to_f64(fixture.members.len());
    let requests_per_day = CHANGES_PER_DAY + RESTARTS_PER_DAY * UPDATES_PER_RESTART;
    let (relays, domains) = (usize_to_f64(REGION_COUNT - 1), usize_to_f64(DOMAIN_COUNT));
    let heads = domains - 1.0 - relays;
    let scopes = [
        ("origin", DisseminationScope::AllRegions, 1.0 / node_count),
        ("relay", DisseminationScope::Region, relays / node_count),
        ("head", DisseminationScope::Domain, heads / node_count),
        (
            "other",
            DisseminationScope::Subtree(0),
            1.0 - domains / node_count,
        ),
    ];
    let domain_size = u32::try_from(fixture.members.len() / DOMAIN_COUNT).into_diagnostic()?;
    for (event, scope, share) in scopes {
        let benchmark = member_benchmark(
            fixture,
            "relay",
            event,
            events,
            Some(requests_per_day * share),
        );
        costs.push(benchmark.measure(
            |number| {
                let salt = u64::from(number);
                // Cycles through all tree positions below the head; most of them are leaves.
                let scope = match scope {
                    DisseminationScope::Subtree(_) => DisseminationScope::Subtree(
                        1 + number % domain_size.max(2).saturating_sub(1),
                    ),
                    other => other,
                };
                policy.next_hops(&table, &local_member, DisseminationRequest { salt, scope })
            },
            |hops: &Vec<DisseminationHop>, totals| {
                for hop in hops {
                    let offer = build_offer(hop.scope, 2, &delta);
                    totals.count_request(&ControlPlaneRequest::Offer { offer })?;
                }
                Ok(())
            },
        )?);
    }
    // Every node checks its role once per second, readers in the region of the store twice.
    let role_check = member_benchmark(
        fixture,
        "reader",
        "role check",
        events,
        Some(PROBES_PER_DAY),
    );
    costs.push(
        role_check.measure_without_messages(|_| policy.poll_interval(&table, &local_member))?,
    );
    let events_per_day = Some(CHANGES_PER_DAY);
    let witness_selection = member_benchmark(
        fixture,
        "ordinary node",
        "choice of witnesses",
        events,
        events_per_day,
    );
    costs.push(witness_selection.measure(
        |_| select_witnesses(&table, &local_member, 2).len(),
        |count, totals| {
            let record = FloorRecord {
                node: local_member.node.clone(),
                version: 2,
            };
            for _ in 0..*count {
                let record = record.clone();
                totals.count_request(&ControlPlaneRequest::RecordFloor { record })?;
            }
            Ok(())
        },
    )?);
    Ok(())
}

/// Measures the simultaneous restart of one remote failure domain.
fn measure_domain_restart(
    settings: &SlopeSettings,
    fixture: &mut MembershipFixture,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let own_domain = fixture.local_member().domain.clone();
    let remote_member = fixture
        .members
        .iter()
        .find(|member| member.domain != own_domain);
    let domain = remote_member.map(|member| member.domain.clone());
    let domain = domain
        .ok_or_else(|| miette!("all members of the view are in failure domain {own_domain}"))?;
    let restarting_members: Vec<Member> = fixture
        .members
        .iter()
        .filter(|member| member.domain == domain)
        .cloned()
        .collect();
    let events_per_day = Some(DOMAIN_RESTARTS_PER_DAY * usize_to_f64(DOMAIN_COUNT));
    let restart_benchmark = member_benchmark(
        fixture,
        "herd",
        "domain left and returned",
        5,
        events_per_day,
    );
    let mut incarnation = INCARNATION_OFFSET + 1_700_000_000_000;
    costs.push(restart_benchmark.measure(
        |_| {
            let mut all_effects = Vec::new();
            for status in [MemberStatus::Left, MemberStatus::Alive] {
                incarnation += 1;
                for node in &restarting_members {
                    let update = Member {
                        status: status.into(),
                        incarnation,
                        ..node.clone()
                    };
                    all_effects.extend(fixture.detector.merge_updates(&[update], fixture.now));
                    // A node publishes a copy of the table on every change of the view.
                    drop(fixture.detector.table().clone());
                }
            }
            all_effects
        },
        count_effect_messages,
    )?);
    let costly_events = (settings.events / COSTLY_EVENT_DIVISOR).max(1);
    let joins_per_day =
        RESTARTS_PER_DAY / u64_to_f64(u64::try_from(fixture.members.len()).into_diagnostic()?);
    let join_benchmark = member_benchmark(
        fixture,
        "herd",
        "join answered",
        costly_events,
        Some(joins_per_day),
    );
    let table: &MemberTable = fixture.detector.table();
    let mut responder = JoinResponder::new(&ResponderSettings::default());
    let floor_table = FloorTable::new(&own_domain);
    let joining = fixture.remote_member(1).clone();
    costs.push(join_benchmark.measure(
        |_| {
            let join = Join {
                member: Some(joining.clone()),
            };
            let answer = responder.answer_join(&join, table, &floor_table, 1, fixture.now);
            responder.release(&joining.node);
            answer.members
        },
        |members, totals| {
            // Only the member entries of the answer are counted.
            totals.count_request(&ControlPlaneRequest::Sync {
                sync: Sync {
                    digests: Vec::new(),
                    entries: members.clone(),
                },
            })
        },
    )?);
    Ok(())
}

fn new_replica() -> Result<ConfigReplica> {
    let mut replica = ConfigReplica::new(ReplicaSettings::default()).into_diagnostic()?;
    replica.raise_floor(0);
    Ok(replica)
}

/// Measures the memory of an active configuration as the mean over [`REPLICA_COPY_COUNT`] copies. A
/// single copy may fit into memory that the process has already allocated.
fn measure_replica_memory(delta: &[u8], services: usize, full_size: bool) -> Result<EventCost> {
    let before = ProcessUsage::of_current_process()?;
    let mut replicas = Vec::new();
    for _ in 0..REPLICA_COPY_COUNT {
        let mut replica = new_replica()?;
        replica.offer(1, delta, VersionOrigin::Tree, Instant::default());
        replica.on_witnesses_recorded(1);
        replicas.push(replica);
    }
    let after = ProcessUsage::of_current_process()?;
    // Rounding down to whole KiB is precise enough at these sizes.
    let kib = after.anonymous_kib.saturating_sub(before.anonymous_kib) / REPLICA_COPY_COUNT;
    Ok(memory_cost(
        "configuration",
        "services",
        services,
        full_size,
        kib,
    ))
}

fn measure_config_replica(
    settings: &SlopeSettings,
    services: usize,
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let events = (settings.events / 4).max(1);
    let mut generator = ChangeGenerator::default();
    let first = generator.first_change(services)?;
    let mut deltas = vec![first.compressed_delta];
    for _ in 0..events {
        deltas.push(generator.next_change()?.compressed_delta);
    }
    let full_size = services == FULL_SIZE_SERVICE_COUNT;
    let benchmark = |role, event, events, events_per_day| EventBenchmark {
        role,
        event,
        driver: "services",
        size: services,
        full_size,
        events,
        events_per_day,
    };
    costs.push(measure_replica_memory(&deltas[0], services, full_size)?);
    let mut replica = new_replica()?;
    let now = Instant::default();
    let mut apply_change = |number: usize| {
        let version = u64::try_from(number + 1).unwrap_or(u64::MAX);
        let (_, effects) = replica.offer(version, &deltas[number], VersionOrigin::Tree, now);
        let records_floor = effects
            .iter()
            .any(|effect| matches!(effect, VersionEffect::RecordFloor { .. }));
        replica.on_witnesses_recorded(version);
        records_floor
    };
    apply_change(0);
    let changes = benchmark(
        "ordinary node",
        "change taken",
        events,
        Some(CHANGES_PER_DAY),
    );
    costs.push(changes.measure_without_messages(|number| apply_change(number as usize + 1))?);
    if replica.current().version() != u64::from(events) + 1 {
        return Err(miette!(
            "the configuration replica is at version {} after {events} changes",
            replica.current().version()
        ));
    }
    let held_version = replica.current().version() - 1;
    let pulls = benchmark(
        "ordinary node",
        "pull of one version answered",
        events,
        None,
    );
    costs.push(pulls.measure_without_messages(|_| replica.answer_pull(held_version))?);
    Ok(())
}

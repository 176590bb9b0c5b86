//! Decisions on calls with the full view of one node, without sockets.

use std::net::SocketAddr;
use std::time::Duration;

use agatedeck_calls::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, AdmissionSettings, AnswerView,
    AttemptResult, BalancerSettings, CallEnd, CallId, ClaimEffect, ClaimId, ClaimRequest,
    ClaimSettings, ClaimTable, ClaimTime, LatencySettings, LatencyTable, LoadBalancer,
    NodeLocality, PickRequest, TargetStatus, TargetView, TwoChoices, WriteOutcome,
};
use agatedeck_clock::Instant;
use agatedeck_records::{NEWEST_SCHEMA, SnapshotView};
use agatedeck_wire::Member;
use miette::{IntoDiagnostic, Result, miette};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::SlopeSettings;
use super::control_decisions::members;
use super::event_clock::{EventCost, EventPlan};
use crate::records::ConfigMirror;

/// Calls of one node on a day at the two-year size: 680,000 a second over 2,700 nodes.
const CALLS_PER_DAY: f64 = 680_000.0 / 2_700.0 * 86_400.0;

/// Changes of the view on an ordinary day: three updates for each of 265 restarts, of which one in
/// 130 is about a given service.
const VIEW_CHANGES_PER_DAY: f64 = 265.0 * 3.0 / 130.0;

const SERVICE: &str = "service-7";
const FULL_MEMBERS: usize = 2_700;
const FULL_SERVICES: usize = 130;

/// Calls that wait in the queue of a target while others are admitted.
const QUEUE_DEPTHS: [usize; 4] = [0, 10, 20, 40];

/// Claims in progress at one node; the last is the bound of the table less one.
const CLAIMS_IN_PROGRESS: [usize; 4] = [16, 256, 1_024, 4_095];

/// Measures routing, admission, claims and latency records.
pub(super) fn measure(settings: &SlopeSettings) -> Result<Vec<EventCost>> {
    let mut costs = Vec::new();
    for services in &settings.decision_services {
        costs.push(route_lookup(settings, *services)?);
    }
    for count in &settings.members {
        measure_board(settings, &members(*count), &mut costs)?;
    }
    for depth in QUEUE_DEPTHS {
        costs.push(measure_admission(settings, depth)?);
    }
    for claims in CLAIMS_IN_PROGRESS {
        costs.extend(measure_claims(settings, claims)?);
    }
    costs.push(measure_latencies(settings)?);
    Ok(costs)
}

fn route_lookup(settings: &SlopeSettings, services: usize) -> Result<EventCost> {
    let mut mirror = ConfigMirror::default();
    mirror.first_change(services)?;
    let view = SnapshotView::new(mirror.snapshot(), NEWEST_SCHEMA);
    let plan = EventPlan {
        role: "caller",
        event: "route looked up",
        driver: "services",
        size: services,
        full_size: services == FULL_SERVICES,
        events: settings.events,
        events_per_day: Some(CALLS_PER_DAY),
    };
    let cost = plan.measure_quiet(|_| {
        view.route_for("mesh", "/service-7/call").map(|route| {
            let policy = view.service_policy(&route.form.service);
            policy.map_or(0, |policy| policy.form.timeout_ms)
        })
    })?;
    Ok(cost)
}

fn place(member: &Member) -> NodeLocality<'_> {
    NodeLocality {
        node: &member.node,
        domain: &member.domain,
        region: &member.region,
    }
}

fn measure_board(
    settings: &SlopeSettings,
    members: &[Member],
    costs: &mut Vec<EventCost>,
) -> Result<()> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let views: Vec<TargetView<'_>> = members
        .iter()
        .filter(|member| member.service == SERVICE)
        .map(|member| TargetView {
            locality: place(member),
            peer: SocketAddr::from(([127, 0, 0, 1], 7_401)),
            generation: 1,
            slots: 20,
            warm: true,
            status: TargetStatus::Alive,
        })
        .collect();
    let callers: Vec<NodeLocality<'_>> = members.iter().map(place).collect();
    let own = place(&members[0]);
    let mut board = LoadBalancer::new(&own, BalancerSettings::default(), Box::new(TwoChoices));
    let plan = |event, events, events_per_day| EventPlan {
        role: "caller",
        event,
        driver: "members",
        size: members.len(),
        full_size: members.len() == FULL_MEMBERS,
        events,
        events_per_day,
    };
    // Every node may call the service; the subset is worked out over all of them.
    let replaced = plan(
        "targets of a service replaced",
        3,
        Some(VIEW_CHANGES_PER_DAY),
    );
    costs.push(replaced.measure_quiet(|_| board.replace_targets(SERVICE, &views, &callers, 0))?);
    let request = PickRequest {
        service: SERVICE,
        avoid: &[],
        idempotent: true,
    };
    let picked = plan(
        "target picked and finished",
        settings.events,
        Some(CALLS_PER_DAY),
    );
    let mut failures = 0;
    costs.push(picked.measure_quiet(|number| {
        let now = Instant::from_micros(u64::from(number) * 1_000);
        match board.pick(&request, now, &mut rng) {
            Ok(target) => {
                let end = now.after(Duration::from_millis(1));
                board.record_result(target.key, now, AttemptResult::Answered, end);
            }
            Err(_) => failures += 1,
        }
    })?);
    if failures > 0 {
        return Err(miette!("{failures} picks found no target"));
    }
    Ok(())
}

fn measure_admission(settings: &SlopeSettings, depth: usize) -> Result<EventCost> {
    let start = Instant::default();
    let limits = AdmissionSettings {
        slots: 20,
        queue: 40,
        tenant_share_percent: 0,
        warm_up_ms: 0,
    };
    let mut queue = AdmissionQueue::new(limits, start);
    let deadline = start.after(Duration::from_hours(1));
    let mut running = std::collections::VecDeque::new();
    let admit = |queue: &mut AdmissionQueue, number: u64, now| {
        let tenant = ["bengal", "kolkata", "addis"][usize::try_from(number % 3).unwrap_or(0)];
        let call = CallId::from(number);
        queue.admit(
            &AdmissionRequest {
                call,
                workspace: tenant,
                priority: 0,
                class: "",
                useful_until: None,
                deadline,
            },
            now,
        )
    };
    let filled = if depth == 0 { 0 } else { 20 + depth - 1 };
    let mut next = 0;
    for _ in 0..filled {
        for effect in admit(&mut queue, next, start) {
            if let AdmissionEffect::Run(call) = effect {
                running.push_back(call);
            }
        }
        next += 1;
    }
    let plan = EventPlan {
        role: "target's admission",
        event: "call admitted and released",
        driver: "calls waiting",
        size: depth,
        full_size: depth == 0,
        events: settings.events,
        events_per_day: Some(CALLS_PER_DAY),
    };
    let mut refused = 0;
    let cost = plan.measure_quiet(|number| {
        let now = Instant::from_micros(u64::from(number) * 1_000);
        let mut effects = admit(&mut queue, next, now);
        next += 1;
        if let Some(call) = running.pop_front() {
            effects.extend(queue.release(call, now));
        }
        for effect in effects {
            match effect {
                AdmissionEffect::Run(call) => running.push_back(call),
                AdmissionEffect::Refuse(..) => refused += 1,
                _ => {}
            }
        }
        // Without waiting calls, the one that was admitted ends at once.
        if depth == 0
            && let Some(call) = running.pop_front()
        {
            queue.release(call, now);
        }
    })?;
    if refused > 0 {
        return Err(miette!("{refused} calls were refused with {depth} waiting"));
    }
    Ok(cost)
}

fn begin_claim(
    table: &mut ClaimTable,
    number: u64,
    time: ClaimTime,
    rng: &mut SmallRng,
) -> Option<ClaimId> {
    let request = ClaimRequest {
        service: SERVICE,
        key: &format!("order-{number}"),
        digest: &[7; 32],
        deadline: time.now.after(Duration::from_mins(1)),
    };
    let (id, effects) = table.begin_claim(&request, time, rng).ok()?;
    for effect in effects {
        if let ClaimEffect::Write { op, .. } = effect {
            table.record_write(op, WriteOutcome::Committed(number + 1), time, rng);
        }
    }
    Some(id)
}

fn finish_claim(table: &mut ClaimTable, id: ClaimId, time: ClaimTime, rng: &mut SmallRng) -> bool {
    if table.start_call(id, time, rng).is_err() {
        return false;
    }
    let answer = AnswerView {
        status: 200,
        content_type: "application/json",
        body: Some(b"{\"charged\":true}"),
    };
    for effect in table.finish_call(id, CallEnd::Answered(answer), time, rng) {
        if let ClaimEffect::Write { op, .. } = effect {
            table.record_write(op, WriteOutcome::Committed(1), time, rng);
        }
    }
    true
}

fn measure_claims(settings: &SlopeSettings, in_progress: usize) -> Result<[EventCost; 2]> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let limits = ClaimSettings::default();
    let mut table = ClaimTable::new("node-0", limits).into_diagnostic()?;
    let time = ClaimTime::default();
    for number in 0..in_progress {
        let number = u64::try_from(number).into_diagnostic()?;
        let claimed = begin_claim(&mut table, number, time, &mut rng);
        claimed.ok_or_else(|| miette!("the table refuses claim {number}"))?;
    }
    let plan = |event| EventPlan {
        role: "claims",
        event,
        driver: "claims in progress",
        size: in_progress,
        full_size: in_progress == 256,
        events: settings.events,
        events_per_day: None,
    };
    let mut refused = 0;
    let claimed = plan("call claimed and completed").measure_quiet(|number| {
        let number = u64::from(number) + 1_000_000;
        let done = begin_claim(&mut table, number, time, &mut rng)
            .is_some_and(|id| finish_claim(&mut table, id, time, &mut rng));
        refused += u32::from(!done);
    })?;
    if refused > 0 {
        return Err(miette!("{refused} claims were refused"));
    }
    let deadline = plan("next deadline asked").measure_quiet(|_| table.next_deadline())?;
    Ok([claimed, deadline])
}

fn measure_latencies(settings: &SlopeSettings) -> Result<EventCost> {
    let mut table = LatencyTable::new(LatencySettings::default()).into_diagnostic()?;
    let tenants: Vec<String> = (0..64).map(|tenant| format!("tenant-{tenant}")).collect();
    let plan = EventPlan {
        role: "caller",
        event: "latency recorded",
        driver: "tenants",
        size: tenants.len(),
        full_size: true,
        events: settings.events,
        events_per_day: Some(CALLS_PER_DAY),
    };
    plan.measure_quiet(|number| {
        let tenant = &tenants[number as usize % tenants.len()];
        table.record(tenant, "search", u64::from(number));
    })
}

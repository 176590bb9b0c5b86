//! The actor that owns the rollouts which a node holds, reports results to the driver, and is the driver
//! itself while the node is the leading reader.

use std::sync::Arc;
use std::time::Duration;

use agatedeck_calls::{
    ExposureSettings, RolloutDriver, RolloutNotice, RolloutOrder, RolloutRequest, RolloutStage,
    RolloutTable,
};
use agatedeck_clock::Instant;
use agatedeck_wire::{RolloutPhase, RolloutState};
use kameo::Actor;
use kameo::actor::ActorRef;
use tokio::sync::watch;

use super::messages::{OrdersRead, RecordReport, RowRead, RowWritten, StatusWritten, Tick};
use super::order_reads::OrderReads;
use super::published::PublishedRollouts;
use super::requests::{read_rollout, send_report, write_rollout, write_status};
use crate::adapters::RolloutBoard;
use crate::calls::{CallRouter, TakeRolloutCounts};
use crate::context::NodeContext;
use crate::store::{ReaderMessage, ReaderSender};

/// Time after the start of a node for which it waits for the first heartbeat of a reader. Readers that
/// start with all other nodes lead after 2 s at most.
pub(crate) const START_GRACE: Duration = Duration::from_secs(5);

/// Interval at which steps are decided while a rollout is in progress. A fraction of the shortest stage,
/// 600 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval at which a node reports results. A bad version that gets most calls must be found within half a
/// second.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between two reports of a node, however many nodes there are.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time for each node by which the interval is longer in a large mesh. The driver, which may have a tenth of a
/// core, receives at most 400 reports a second from 400 nodes.
const REPORT_TIME_PER_NODE: Duration = Duration::from_micros(2_500);

/// Time after an answer of the store for which a driver counts as connected. Reads of the feed are answered
/// every 500 ms.
const CONTACT_VALIDITY: Duration = Duration::from_millis(1_500);

/// Pause between two reads of the row of a rollout whose driver is not heard.
const ROW_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Owns the rollouts of a node.
#[derive(Actor)]
pub(crate) struct RolloutActor {
    pub(super) context: NodeContext,
    pub(super) router: ActorRef<CallRouter>,
    pub(super) reader: ReaderSender,
    pub(super) published: watch::Sender<Arc<PublishedRollouts>>,
    pub(super) table: RolloutTable,
    pub(super) driver: RolloutDriver,
    pub(super) is_leading: bool,
    /// Until when the last answer of the store counts as contact with it.
    pub(super) contact_until: Instant,
    /// Whether a reader has stated all rollouts.
    pub(super) is_known: bool,
    pub(super) order_reads: OrderReads,
    /// Node that sent the last heartbeat with a state.
    pub(super) driver_node: String,
    pub(super) is_ticking: bool,
    pub(super) next_report_at: Instant,
    pub(super) next_row_read_at: Instant,
}

impl RolloutActor {
    pub(crate) fn new(
        context: NodeContext,
        router: ActorRef<CallRouter>,
        reader: ReaderSender,
        published: watch::Sender<Arc<PublishedRollouts>>,
    ) -> Self {
        let limits = &context.settings.calls.rollout;
        let settings = ExposureSettings {
            max_share: limits.max_share,
            slack: limits.slack,
            ..Default::default()
        };
        Self {
            driver: RolloutDriver::new(settings),
            table: RolloutTable::default(),
            is_leading: false,
            contact_until: Instant::default(),
            is_known: context.rollout_board.is_none(),
            order_reads: OrderReads::default(),
            driver_node: String::new(),
            is_ticking: false,
            next_report_at: Instant::default(),
            next_row_read_at: Instant::default(),
            context,
            router,
            reader,
            published,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.context.clock.now()
    }

    /// Records that the store has answered this node.
    pub(super) fn extend_contact(&mut self) {
        self.contact_until = self.now().after(CONTACT_VALIDITY);
    }

    /// Starts the requests that are due and publishes what has changed.
    pub(super) fn advance(&mut self, actor: &ActorRef<Self>) {
        let now = self.now();
        self.start_order_read(now, actor);
        for request in self.driver.next_requests(now) {
            self.start_request(request, actor);
        }
        for notice in self.driver.take_notices() {
            self.log_notice(&notice);
        }
        self.publish(now);
        self.schedule_tick(actor);
    }

    /// Software versions of the targets of a service.
    pub(super) fn target_versions(&self, service: &str) -> Vec<String> {
        let table = self.context.table();
        let targets = table.live().filter(|member| member.service == service);
        targets
            .map(|member| member.target_version.clone())
            .collect()
    }

    pub(super) fn log_notice(&self, notice: &RolloutNotice) {
        let RolloutNotice {
            order,
            stage,
            new_sent,
            all_sent,
            fault,
        } = notice;
        let RolloutOrder {
            service, target, ..
        } = order;
        log::info!(
            event = "rollout-step", service, target, stage:% = stage, order = order.position,
            new_sent, all_sent, fault:? = fault;
            "rollout of version `{target}` of `{service}`: {stage}"
        );
        if *stage == RolloutStage::Ordered && !self.target_versions(service).contains(target) {
            log::warn!(
                event = "rollout-without-targets", service, target;
                "version `{target}` of `{service}` is ordered and has no targets yet"
            );
        }
    }

    pub(super) fn is_working(&self) -> bool {
        self.order_reads.is_needed || self.driver.is_working() || self.table.is_active()
    }

    pub(super) fn schedule_tick(&mut self, actor: &ActorRef<Self>) {
        if !self.is_ticking && self.is_working() {
            self.is_ticking = true;
            actor.tell(Tick).send_after(TICK_INTERVAL);
        }
    }

    pub(super) fn publish(&mut self, now: Instant) {
        let driven = self.driver.states(now);
        if self.contact_until.is_past(now) {
            self.table.merge_unconfirmed(&driven, now);
        } else {
            self.table.merge(&driven, now);
        }
        let states = self.table.states(now);
        let is_driven =
            |state: &RolloutState| driven.iter().any(|driven| driven.service == state.service);
        let in_progress = |state: &&RolloutState| !has_ended(state);
        let counted = states.iter().filter(in_progress);
        let is_pending =
            self.is_leading && (self.order_reads.is_open() || self.driver.is_pending());
        self.is_known |= self.is_leading && !is_pending;
        let published = PublishedRollouts {
            is_known: self.is_known,
            is_pending,
            splits: self.table.splits(now),
            counted: counted.map(|state| state.service.clone()).collect(),
            // A state in progress of another driver may be outdated.
            heartbeat: states
                .iter()
                .filter(|state| has_ended(state) || is_driven(state))
                .cloned()
                .collect(),
        };
        let steps = |published: &PublishedRollouts| -> Vec<(u64, u64, u32)> {
            let states = published.heartbeat.iter();
            states
                .map(|state| (state.order, state.step, state.share_permille))
                .collect()
        };
        let has_new_step = steps(&published) != steps(&self.published.borrow());
        self.published.send_if_modified(|current| {
            let is_new = **current != published;
            if is_new {
                *current = Arc::new(published);
            }
            is_new
        });
        if has_new_step && self.is_leading {
            // With a full queue, the next regular heartbeat follows within 500 ms.
            let _ = self.reader.try_send(ReaderMessage::RolloutsChanged);
        }
    }

    pub(super) fn board(&self) -> Option<Arc<dyn RolloutBoard>> {
        self.context.rollout_board.clone()
    }

    pub(super) fn start_order_read(&mut self, now: Instant, actor: &ActorRef<Self>) {
        let Some(board) = self.board().filter(|_| self.order_reads.may_start(now)) else {
            return;
        };
        self.order_reads.start(now);
        let (deadline, actor) = (self.context.store_deadline(), actor.clone());
        tokio::spawn(async move {
            let orders = board.read_orders(deadline).await;
            // The sends of this module fail only while the node is stopping.
            let _ = actor.tell(OrdersRead(orders)).await;
        });
    }

    pub(super) fn start_request(&self, request: RolloutRequest, actor: &ActorRef<Self>) {
        let (context, actor) = (self.context.clone(), actor.clone());
        tokio::spawn(async move {
            match request {
                RolloutRequest::ReadRow(service) => {
                    let stored = read_rollout(&context, &service).await;
                    let _ = actor.tell(RowRead { service, stored }).await;
                }
                RolloutRequest::WriteRow(state, revision) => {
                    let result = write_rollout(&context, &state, revision).await;
                    let _ = actor.tell(RowWritten { state, result }).await;
                }
                RolloutRequest::WriteStatus(order, status) => {
                    let is_written = write_status(&context, &order, status).await;
                    let written = StatusWritten {
                        order,
                        status,
                        is_written,
                    };
                    let _ = actor.tell(written).await;
                }
            }
        });
    }

    /// Reads the rows of rollouts in progress whose driver is not heard. A node that only the store answers
    /// must learn of a rollback.
    pub(super) fn start_row_reads(&mut self, now: Instant, actor: &ActorRef<Self>) {
        if self.is_leading || !self.next_row_read_at.is_past(now) {
            return;
        }
        let services: Vec<String> = self
            .table
            .outdated_services(now)
            .map(str::to_owned)
            .collect();
        if !services.is_empty() {
            self.next_row_read_at = now.after(ROW_READ_INTERVAL);
        }
        for service in services {
            self.start_request(RolloutRequest::ReadRow(service), actor);
        }
    }

    /// Takes the counts of the router and passes them to the driver.
    pub(super) fn start_report(&mut self, now: Instant, actor: &ActorRef<Self>) {
        if !self.table.is_active() || !self.next_report_at.is_past(now) {
            return;
        }
        let nodes = u32::try_from(self.context.table().live().count()).unwrap_or(u32::MAX);
        let interval = REPORT_TIME_PER_NODE.saturating_mul(nodes);
        let interval = interval.clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL);
        self.next_report_at = now.after(interval);
        let (router, actor) = (self.router.clone(), actor.clone());
        let driver = (!self.is_leading).then(|| self.driver_node.clone());
        let context = self.context.clone();
        tokio::spawn(async move {
            let Ok(counts) = router.ask(TakeRolloutCounts).await else {
                return;
            };
            if counts.0.is_empty() {
                return;
            }
            match driver {
                None => _ = actor.tell(RecordReport(counts.0)).await,
                Some(driver) => send_report(&context, &driver, counts.0).await,
            }
        });
    }
}

fn has_ended(state: &RolloutState) -> bool {
    matches!(
        state.phase(),
        RolloutPhase::Completed | RolloutPhase::RolledBack
    )
}

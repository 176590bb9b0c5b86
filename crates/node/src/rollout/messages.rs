//! Messages to the rollout actor.

use agatedeck_calls::{RolloutOrder, RolloutStatus, StoredRollout};
use agatedeck_store::StoreError;
use agatedeck_wire::{RolloutCounts, RolloutState};
use kameo::message::{Context, Message};

use super::actor::RolloutActor;

/// The node leads the reading of the feed from now on, or no longer does.
pub(crate) struct SetLeading(pub(crate) bool);

impl Message<SetLeading> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, SetLeading(leads): SetLeading, ctx: &mut Context<Self, ()>) {
        if self.is_leading == leads || self.context.rollout_board.is_none() {
            return;
        }
        self.is_leading = leads;
        self.extend_contact();
        self.order_reads.is_needed = leads;
        if !leads {
            self.driver.clear();
        }
        self.advance(ctx.actor_ref());
    }
}

/// The store has answered this node, which leads.
pub(crate) struct SourceAnswered;

impl Message<SourceAnswered> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, SourceAnswered: SourceAnswered, _: &mut Context<Self, ()>) {
        self.extend_contact();
    }
}

/// Changes of the feed may have been missed, so that all orders must be read.
pub(crate) struct ReadOrders;

impl Message<ReadOrders> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, ReadOrders: ReadOrders, ctx: &mut Context<Self, ()>) {
        self.order_reads.is_needed = self.is_leading;
        self.advance(ctx.actor_ref());
    }
}

/// Orders that the feed has answered.
pub(crate) struct OrdersReceived(pub(crate) Vec<RolloutOrder>);

impl Message<OrdersReceived> for RolloutActor {
    type Reply = ();

    async fn handle(
        &mut self,
        OrdersReceived(orders): OrdersReceived,
        ctx: &mut Context<Self, ()>,
    ) {
        if !self.is_leading {
            return;
        }
        if self.order_reads.is_open() {
            // The state of an earlier order may be unknown yet.
            return self.driver.add_orders(orders);
        }
        let now = self.now();
        for order in orders {
            let versions = self.target_versions(&order.service);
            self.driver.start_order(order, &self.table, &versions, now);
        }
        self.advance(ctx.actor_ref());
    }
}

/// The answer to a read of all orders.
pub(super) struct OrdersRead(pub(super) Result<Vec<RolloutOrder>, StoreError>);

impl Message<OrdersRead> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, OrdersRead(result): OrdersRead, ctx: &mut Context<Self, ()>) {
        self.order_reads.end();
        match result {
            Ok(orders) if self.is_leading => {
                self.driver.add_orders(orders);
                self.advance(ctx.actor_ref());
            }
            Ok(_) => {}
            // The next tick repeats the read.
            Err(error) => {
                self.order_reads.is_needed = self.is_leading;
                log::debug!("cannot read the orders of rollouts: {error}");
            }
        }
        self.schedule_tick(ctx.actor_ref());
    }
}

/// What the heartbeat of the leading reader `node` states of rollouts.
pub(crate) struct MergeHeartbeat {
    pub(crate) node: String,
    pub(crate) states: Vec<RolloutState>,
    /// Whether there may be rollouts that are not stated.
    pub(crate) is_pending: bool,
}

impl Message<MergeHeartbeat> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, heartbeat: MergeHeartbeat, ctx: &mut Context<Self, ()>) {
        let now = self.now();
        self.table.merge(&heartbeat.states, now);
        self.driver.observe(&heartbeat.states, now);
        self.is_known |= !heartbeat.is_pending;
        if !heartbeat.states.is_empty() {
            self.driver_node = heartbeat.node;
        }
        self.advance(ctx.actor_ref());
    }
}

/// Results of the calls of a node.
pub(crate) struct RecordReport(pub(crate) Vec<RolloutCounts>);

impl Message<RecordReport> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, RecordReport(counts): RecordReport, ctx: &mut Context<Self, ()>) {
        // The next tick compares the versions: there may be hundreds of reports a second.
        self.driver.record(&counts, self.now());
        self.schedule_tick(ctx.actor_ref());
    }
}

/// No reader has been heard since the node started.
pub(crate) struct EndStartGrace;

impl Message<EndStartGrace> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, EndStartGrace: EndStartGrace, ctx: &mut Context<Self, ()>) {
        self.is_known = true;
        self.advance(ctx.actor_ref());
    }
}

/// The answer to a read of a row; `stored` is `None` if the store did not answer.
pub(super) struct RowRead {
    pub(super) service: String,
    pub(super) stored: Option<StoredRollout>,
}

impl Message<RowRead> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, read: RowRead, ctx: &mut Context<Self, ()>) {
        let now = self.now();
        if read.stored.is_some() {
            self.extend_contact();
        }
        if self.is_leading {
            let versions = self.target_versions(&read.service);
            self.driver
                .on_row(&read.service, read.stored, &self.table, &versions, now);
        } else if let Some(state) = read.stored.and_then(|stored| stored.state) {
            self.table.merge(&[state], now);
        }
        self.advance(ctx.actor_ref());
    }
}

/// The answer to a write of a row.
pub(super) struct RowWritten {
    pub(super) state: RolloutState,
    pub(super) result: Result<Option<u64>, ()>,
}

impl Message<RowWritten> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, written: RowWritten, ctx: &mut Context<Self, ()>) {
        let now = self.now();
        if written.result.is_ok() {
            self.extend_contact();
        }
        self.driver
            .on_row_written(&written.state, written.result, now);
        self.advance(ctx.actor_ref());
    }
}

/// The answer to a write of a status.
pub(super) struct StatusWritten {
    pub(super) order: RolloutOrder,
    pub(super) status: RolloutStatus,
    pub(super) is_written: bool,
}

impl Message<StatusWritten> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, written: StatusWritten, ctx: &mut Context<Self, ()>) {
        let now = self.now();
        let StatusWritten {
            order,
            status,
            is_written,
        } = written;
        self.driver
            .on_status_written(&order, status, is_written, now);
        self.advance(ctx.actor_ref());
    }
}

/// Decides on steps, reports results and reads rows while a rollout is in progress.
pub(super) struct Tick;

impl Message<Tick> for RolloutActor {
    type Reply = ();

    async fn handle(&mut self, Tick: Tick, ctx: &mut Context<Self, ()>) {
        self.is_ticking = false;
        let now = self.now();
        self.start_report(now, ctx.actor_ref());
        self.start_row_reads(now, ctx.actor_ref());
        self.advance(ctx.actor_ref());
    }
}

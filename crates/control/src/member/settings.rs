//! Settings of membership.

/// Periods, limits and counts of the failure detector. Defaults suit the latencies of the design
/// page: at most 24 ms for a round trip between regions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// Time between two probes of a node of the own failure domain, in milliseconds.
    pub probe_period_ms: u64,
    /// Time allowed for a direct probe before helpers are asked, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Time allowed for the helpers after that, in milliseconds.
    pub indirect_probe_timeout_ms: u64,
    /// Helpers asked to probe a node that did not answer.
    pub indirect_probe_count: usize,
    /// Time that a suspected node has to refute, in milliseconds. Four probe periods let the
    /// suspicion reach the node and the refutation return.
    pub suspicion_timeout_ms: u64,
    /// Time between two probes by a delegate of another domain of its region, in milliseconds.
    pub domain_probe_period_ms: u64,
    /// Time between two probes by a delegate of another region, in milliseconds; longer, since
    /// these bytes are billed.
    pub region_probe_period_ms: u64,
    /// Time between two contacts with a dead node of the own domain, and with a known address at
    /// which no live node is listed, in milliseconds. They join parts of the mesh that lost sight
    /// of each other.
    pub reconnect_period_ms: u64,
    /// Shortest time between two `Sync` requests of one node, in milliseconds. Updates that are
    /// still on their way make digests differ for a moment, and each `Sync` costs whole domains.
    pub min_sync_interval_ms: u64,
    /// Time for which left and dead entries are listed and sent, in milliseconds. Longer than the
    /// partitions that the design page expects, since a forgotten node is not reconnected to.
    pub dead_entry_retention_ms: u64,
    /// Time after that for which the incarnation is remembered so that no older update brings the
    /// node back, in milliseconds.
    pub tombstone_retention_ms: u64,
    /// A tick that is later than this is taken as a pause of the own process, in milliseconds.
    pub pause_threshold_ms: u64,
    /// Most updates in one message.
    pub max_updates_per_message: usize,
    /// Each update is sent this many times the binary logarithm of the domain's size.
    pub retransmit_multiplier: u32,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_period_ms: 1_000,
            probe_timeout_ms: 200,
            indirect_probe_timeout_ms: 400,
            indirect_probe_count: 3,
            suspicion_timeout_ms: 4_000,
            domain_probe_period_ms: 1_000,
            region_probe_period_ms: 2_000,
            reconnect_period_ms: 5_000,
            min_sync_interval_ms: 2_000,
            dead_entry_retention_ms: 3_600_000,
            tombstone_retention_ms: 86_400_000,
            pause_threshold_ms: 1_000,
            max_updates_per_message: 8,
            retransmit_multiplier: 3,
        }
    }
}

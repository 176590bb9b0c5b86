//! Settings of the failure detector and the member table.

/// Periods, timeouts and limits of membership. The defaults assume round trips of at most 24 ms
/// between regions, as the design page states.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// Time between probes of nodes of the local failure domain, in milliseconds.
    pub probe_period_ms: u64,
    /// Timeout of a direct probe, after which indirect probes are requested, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Additional timeout for indirect probes, in milliseconds.
    pub indirect_probe_timeout_ms: u64,
    /// Number of nodes asked for an indirect probe of a node that did not answer.
    pub indirect_probe_count: usize,
    /// Time within which a suspected node must refute the suspicion, in milliseconds. Four probe
    /// periods allow the suspicion to reach the node and the refutation to return.
    pub suspicion_timeout_ms: u64,
    /// Time between probes by a delegate of another domain of its region, in milliseconds.
    pub domain_probe_period_ms: u64,
    /// Time between probes by a delegate of another region, in milliseconds. Longer than within a
    /// region, since traffic between regions is billed.
    pub region_probe_period_ms: u64,
    /// Time between contacts with a dead node of the local domain and with a seed address without a
    /// live member, in milliseconds. These contacts merge parts of the mesh that are no longer
    /// aware of each other.
    pub reconnect_period_ms: u64,
    /// Minimum time between `Sync` requests of one node, in milliseconds. Updates in flight make
    /// digests differ briefly, and each `Sync` transfers the entries of whole domains.
    pub min_sync_interval_ms: u64,
    /// Time for which left and dead entries are listed and sent, in milliseconds. Longer than the
    /// partitions that the design page expects, since nodes do not reconnect to a removed entry.
    pub dead_entry_retention_ms: u64,
    /// Time for which a tombstone then retains the incarnation, so that no older update revives the
    /// node, in milliseconds.
    pub tombstone_retention_ms: u64,
    /// Delay of a tick above which the process counts as having been paused, in milliseconds.
    pub pause_threshold_ms: u64,
    /// Time between two broadcasts of a collector, for each failure domain of the fleet, in milliseconds.
    /// Each node receives the broadcasts of all domains.
    pub broadcast_pause_per_domain_ms: u64,
    /// Maximum time between two broadcasts of one node, in milliseconds.
    pub max_broadcast_pause_ms: u64,
    /// Time within which an update that a collector has accepted must have been broadcast, in milliseconds.
    /// Longer than the pause of a collector.
    pub broadcast_timeout_ms: u64,
    /// Time after which updates are sent again that no collector has accepted, in milliseconds.
    pub report_retry_ms: u64,
    /// Time for which a collector that did not answer is passed over, in milliseconds. Longer than the
    /// failure detector takes to declare it dead.
    pub collector_silence_ms: u64,
    /// Maximum number of updates in one message.
    pub max_updates_per_message: usize,
    /// Number of times that each update is sent, per bit of the size of the domain.
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
            broadcast_pause_per_domain_ms: 50,
            max_broadcast_pause_ms: 10_000,
            broadcast_timeout_ms: 3_000,
            report_retry_ms: 1_000,
            collector_silence_ms: 8_000,
            max_updates_per_message: 8,
            retransmit_multiplier: 3,
        }
    }
}

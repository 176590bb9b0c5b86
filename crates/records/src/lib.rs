//! Configuration records, snapshots and deltas.

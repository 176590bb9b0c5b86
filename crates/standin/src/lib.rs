//! Stand-ins for the platform and for targets.

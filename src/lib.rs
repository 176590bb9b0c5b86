//! agatedeck.

//! Carries a message type of another crate as the reply of an actor.

/// A reply whose type is not of this crate.
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct WireAnswer<T: Send + 'static>(pub(crate) T);

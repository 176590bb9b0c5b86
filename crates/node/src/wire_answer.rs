//! Wrapper for wire types as replies of actors.

/// An actor reply of a type from another crate, for which this crate cannot implement
/// [`kameo::Reply`].
#[derive(Debug, Default, kameo::Reply)]
pub(crate) struct WireAnswer<T: Send + 'static>(pub(crate) T);

//! The admin API of the node: HTTP with JSON bodies.

mod api;
mod survey;

pub(crate) use api::{AdminState, admin_router};
pub(crate) use survey::survey;

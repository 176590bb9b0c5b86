//! Connections of clients: how many each listener has, what each of them waits for, and which are closed.

mod client_connection;
mod client_stream;
mod http_server;
mod listener_server;

pub(crate) use client_connection::ClientConnection;
pub(crate) use client_stream::ClientStream;
pub(crate) use http_server::{HttpHandler, HttpLimits, RunAheadOptions};
pub(crate) use listener_server::{ConnectionHandler, ListenerOptions, ListenerServer};

//! Runs requests side by side that a client sends before its earlier ones are answered.
//!
//! The HTTP server begins a request once the answer before it is complete. Of the requests that arrive
//! meanwhile, those that may run more than once are begun here at once. The server still reads each request
//! from the same bytes, in order, and is handed the answer that is ready or being made, so that it alone
//! writes answers, in the order of the requests.
//!
//! Reading ahead also shows that a client has disconnected, which the server does not notice while it holds
//! bytes of further requests.

mod head_scanner;
mod pipelined_stream;

pub(crate) use pipelined_stream::{PipelinedStream, RequestHandler, RunAheadPolicy};

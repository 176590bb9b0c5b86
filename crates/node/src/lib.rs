//! The node daemon: actors, sockets and settings.

//! State charts read from files.

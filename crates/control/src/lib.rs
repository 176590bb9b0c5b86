//! Decisions on acceptance, spreading and membership.

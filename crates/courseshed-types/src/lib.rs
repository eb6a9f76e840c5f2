//! Identifiers, units, verdicts and the messages that the roles exchange.

//! The replicated log: a sans-I/O consensus state machine and its storages.

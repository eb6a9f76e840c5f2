//! The program shard: program records, order, call outcomes and the budget ledger.

//! The client of model engines: calls, streams, events, leases and fenced orders.

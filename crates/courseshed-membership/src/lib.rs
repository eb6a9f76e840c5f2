//! Failure detection, the member map, and placement of shards and dispatchers.

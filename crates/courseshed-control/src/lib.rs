//! The controller: settings versions, member map, shard placement and budget grants.

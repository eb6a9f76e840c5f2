//! The daemon: gateway, roles, draining and metrics.

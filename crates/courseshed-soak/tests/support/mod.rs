//! A small fleet of real processes with one stand-in server, and crowds of clients that misbehave.

pub mod crowd;
pub mod stand;

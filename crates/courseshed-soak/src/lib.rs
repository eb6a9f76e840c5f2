//! A fault soak of gateways, stores and controllers as real processes on loopback.
//!
//! One process is the soak itself: it starts the others ([`fleet`]), is their servers ([`server`]) and
//! their callers ([`caller`]), brings faults about ([`faults`]) and notes what it sees in a
//! [`ledger`], from which the promises are judged at the end. The other processes run the same code as
//! everywhere ([`node`]), with the short codec in place of a platform's words.
//!
//! The seed decides which faults come when, what callers ask and what servers do. Times on real machines
//! are not repeatable, so a seed that failed is a case to play again, not a recording.

pub mod caller;
pub mod faults;
pub mod fleet;
pub mod framing;
pub mod http_text;
pub mod ledger;
pub mod lethal;
pub mod loopback;
pub mod node;
pub mod releases;
pub mod routing;
pub mod run;
pub mod server;
pub mod silence;
pub mod streams;
pub mod world;
pub mod zones;

//! The emulated list of live and leaving engines, which lags behind the truth.

use crate::server::{EmbeddedServer, ServerControl};
use actix_web::HttpResponse;
use actix_web::web::{self, ServiceConfig};
use courseshed_types::dispatch::{EngineMember, EngineState};
use courseshed_types::engine::EngineDirectory;
use courseshed_types::{EngineId, MapEpoch};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The options of the members list.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// How old the list is that readers get.
    pub lag: Duration,
    /// The first members.
    pub members: Vec<EngineMember>,
}

impl Default for MemberOptions {
    fn default() -> Self {
        MemberOptions {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag: Duration::from_secs(1),
            members: Vec::new(),
        }
    }
}

/// Body of `PUT /admin/members/{engine}/state`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct StateBody {
    /// The new state.
    pub state: EngineState,
}

/// The list and its past.
struct Members {
    lag: Duration,
    epoch: u64,
    present: BTreeMap<EngineId, EngineMember>,
    /// Lists as they were published, the oldest first.
    published: VecDeque<(Duration, EngineDirectory)>,
}

impl Members {
    fn new(lag: Duration, members: Vec<EngineMember>) -> Self {
        let mut list = Members {
            lag,
            epoch: 0,
            present: BTreeMap::new(),
            published: VecDeque::new(),
        };
        for member in members {
            list.present.insert(member.engine.clone(), member);
        }
        list.publish(Duration::ZERO);
        list
    }

    fn publish(&mut self, now: Duration) {
        self.epoch += 1;
        let directory = EngineDirectory {
            epoch: MapEpoch(self.epoch),
            engines: self.present.values().cloned().collect(),
        };
        self.published.push_back((now, directory));
    }

    fn put(&mut self, now: Duration, member: EngineMember) {
        self.present.insert(member.engine.clone(), member);
        self.publish(now);
    }

    fn set_state(&mut self, now: Duration, engine: &EngineId, state: EngineState) -> bool {
        let Some(member) = self.present.get_mut(engine) else {
            return false;
        };
        member.state = state;
        self.publish(now);
        true
    }

    fn remove(&mut self, now: Duration, engine: &EngineId) -> bool {
        let removed = self.present.remove(engine).is_some();
        if removed {
            self.publish(now);
        }
        removed
    }

    /// The list as readers see it: as it was one lag ago.
    fn read(&mut self, now: Duration) -> EngineDirectory {
        while let Some((at, _)) = self.published.get(1)
            && *at + self.lag <= now
        {
            self.published.pop_front();
        }
        let oldest = self.published.front();
        oldest
            .map(|(_, directory)| directory.clone())
            .unwrap_or_default()
    }
}

struct Shared {
    origin: Instant,
    members: Mutex<Members>,
}

impl Shared {
    fn change<T>(&self, change: impl FnOnce(&mut Members, Duration) -> T) -> T {
        let now = self.origin.elapsed();
        change(&mut self.members.lock(), now)
    }
}

/// A running members list; dropping it stops it.
pub struct MembersHandle {
    shared: Arc<Shared>,
    server: EmbeddedServer,
}

/// Starts emulated members lists.
pub struct EmulatedMembers;

impl EmulatedMembers {
    /// Starts the list on threads of its own and returns once it listens.
    pub fn start(options: MemberOptions) -> io::Result<MembersHandle> {
        let shared = Arc::new(Shared {
            origin: Instant::now(),
            members: Mutex::new(Members::new(options.lag, options.members)),
        });
        let served = shared.clone();
        let configure = move |config: &mut ServiceConfig| configure(config, &served);
        let control = ServerControl::new();
        let server = EmbeddedServer::start("members", options.listen, control, configure)?;
        Ok(MembersHandle { shared, server })
    }
}

impl MembersHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds or replaces a member.
    pub fn put(&self, member: EngineMember) {
        self.shared.change(|members, now| members.put(now, member));
    }

    /// Changes a member's state; false if there is no such member.
    pub fn set_state(&self, engine: &EngineId, state: EngineState) -> bool {
        self.shared
            .change(|members, now| members.set_state(now, engine, state))
    }

    /// Removes a member; false if there was none.
    pub fn remove(&self, engine: &EngineId) -> bool {
        self.shared
            .change(|members, now| members.remove(now, engine))
    }

    /// Stops it at once.
    pub fn stop(self) {
        drop(self.server);
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        self.server.wait();
    }
}

fn configure(config: &mut ServiceConfig, shared: &Arc<Shared>) {
    config
        .app_data(web::Data::from(shared.clone()))
        .route("/members", web::get().to(list))
        .route("/admin/members", web::post().to(put))
        .route("/admin/members/{engine}/state", web::put().to(set_state))
        .route("/admin/members/{engine}", web::delete().to(remove));
}

async fn list(shared: web::Data<Shared>) -> HttpResponse {
    let directory = shared.change(|members, now| members.read(now));
    HttpResponse::Ok().json(directory)
}

async fn put(shared: web::Data<Shared>, member: web::Json<EngineMember>) -> HttpResponse {
    shared.change(|members, now| members.put(now, member.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn set_state(
    shared: web::Data<Shared>,
    engine: web::Path<String>,
    body: web::Json<StateBody>,
) -> HttpResponse {
    let engine = EngineId::from(engine.into_inner());
    found(shared.change(|members, now| members.set_state(now, &engine, body.state)))
}

async fn remove(shared: web::Data<Shared>, engine: web::Path<String>) -> HttpResponse {
    let engine = EngineId::from(engine.into_inner());
    found(shared.change(|members, now| members.remove(now, &engine)))
}

fn found(found: bool) -> HttpResponse {
    match found {
        true => HttpResponse::NoContent().finish(),
        false => HttpResponse::NotFound().finish(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use courseshed_types::{RegionName, ZoneName};

    fn member(engine: &str) -> EngineMember {
        EngineMember {
            engine: EngineId::from(engine),
            address: "127.0.0.1:9001".to_owned(),
            region: RegionName::from("south"),
            zone: ZoneName::from("south-1"),
            models: Vec::new(),
            state: EngineState::Live,
        }
    }

    #[test]
    fn readers_see_changes_one_lag_later() {
        let second = Duration::from_secs(1);
        let mut members = Members::new(second * 10, vec![member("a")]);
        members.put(second, member("b"));
        let engine = EngineId::from("a");
        assert!(members.set_state(second * 5, &engine, EngineState::Leaving));
        assert!(members.remove(second * 6, &EngineId::from("b")));
        assert_eq!(members.read(second * 10).engines.len(), 1);
        assert_eq!(members.read(second * 11).engines.len(), 2);
        let leaving = members.read(second * 15);
        assert_eq!(leaving.engines[0].state, EngineState::Leaving);
        assert_eq!(members.read(second * 16).engines.len(), 1);
        assert!(!members.remove(second * 17, &EngineId::from("b")));
    }
}

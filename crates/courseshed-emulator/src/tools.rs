//! Emulated tool services: they answer after a drawn time, and hang or fail on demand.

use crate::server::{EmbeddedServer, ServerControl};
use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, http::StatusCode};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// How a tool behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ToolBehaviour {
    /// Median time of an answer, in milliseconds.
    pub median_ms: f64,
    /// Spread of the time: the standard deviation of its logarithm; 0 makes it constant.
    pub spread: f64,
    /// Share of calls that are never answered.
    pub hang: f64,
    /// Share of calls that fail with status 500.
    pub fail: f64,
}

impl Default for ToolBehaviour {
    fn default() -> Self {
        ToolBehaviour {
            median_ms: 200.0,
            spread: 0.5,
            hang: 0.0,
            fail: 0.0,
        }
    }
}

/// The options of the tool services.
#[derive(Clone, Debug)]
pub struct ToolOptions {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// How tools behave that have no behaviour of their own.
    pub behaviour: ToolBehaviour,
}

impl Default for ToolOptions {
    fn default() -> Self {
        ToolOptions {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            behaviour: ToolBehaviour::default(),
        }
    }
}

/// Answer of `POST /tools/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToolAnswer {
    /// The tool.
    pub tool: String,
    /// The digest of the call's body, so that callers can check whose answer it is.
    pub result: String,
}

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answer(Duration),
    Fail(Duration),
    Hang,
}

struct Tables {
    random: ChaCha8Rng,
    common: ToolBehaviour,
    own: BTreeMap<String, ToolBehaviour>,
}

impl Tables {
    fn draw(&mut self, tool: &str) -> Fate {
        let behaviour = self.own.get(tool).unwrap_or(&self.common).clone();
        if self.random.random_bool(behaviour.hang.clamp(0.0, 1.0)) {
            return Fate::Hang;
        }
        let failed = self.random.random_bool(behaviour.fail.clamp(0.0, 1.0));
        let time = self.draw_time(&behaviour);
        match failed {
            true => Fate::Fail(time),
            false => Fate::Answer(time),
        }
    }

    fn draw_time(&mut self, behaviour: &ToolBehaviour) -> Duration {
        let factor = LogNormal::new(0.0, behaviour.spread.max(0.0))
            .map_or(1.0, |distribution| distribution.sample(&mut self.random));
        Duration::from_secs_f64(behaviour.median_ms.max(0.0) * factor / 1_000.0)
    }
}

/// Running tool services; dropping them stops them.
pub struct ToolsHandle {
    tables: Arc<Mutex<Tables>>,
    server: EmbeddedServer,
}

/// Starts emulated tool services.
pub struct EmulatedTools;

impl EmulatedTools {
    /// Starts the services on threads of their own and returns once they listen.
    pub fn start(options: ToolOptions) -> io::Result<ToolsHandle> {
        let tables = Arc::new(Mutex::new(Tables {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            common: options.behaviour,
            own: BTreeMap::new(),
        }));
        let served = tables.clone();
        let configure = move |config: &mut ServiceConfig| configure(config, &served);
        let control = ServerControl::new();
        let server = EmbeddedServer::start("tools", options.listen, control, configure)?;
        Ok(ToolsHandle { tables, server })
    }
}

impl ToolsHandle {
    /// Where they listen.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Gives one tool a behaviour of its own.
    pub fn set_behaviour(&self, tool: &str, behaviour: ToolBehaviour) {
        self.tables.lock().own.insert(tool.to_owned(), behaviour);
    }

    /// Stops them at once.
    pub fn stop(self) {
        drop(self.server);
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        self.server.wait();
    }
}

fn configure(config: &mut ServiceConfig, tables: &Arc<Mutex<Tables>>) {
    config
        .app_data(web::Data::from(tables.clone()))
        .route("/tools/{name}", web::post().to(call))
        .route("/admin/tools/{name}", web::put().to(put_behaviour));
}

async fn call(
    tables: web::Data<Mutex<Tables>>,
    tool: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let fate = tables.lock().draw(&tool);
    let (time, status) = match fate {
        Fate::Hang => return pending().await,
        Fate::Fail(time) => (time, StatusCode::INTERNAL_SERVER_ERROR),
        Fate::Answer(time) => (time, StatusCode::OK),
    };
    actix_rt::time::sleep(time).await;
    HttpResponse::build(status).json(ToolAnswer {
        tool: tool.into_inner(),
        result: format!("{:016x}", xxh3_64(&body)),
    })
}

async fn put_behaviour(
    tables: web::Data<Mutex<Tables>>,
    tool: web::Path<String>,
    behaviour: web::Json<ToolBehaviour>,
) -> HttpResponse {
    let behaviour = behaviour.into_inner();
    tables.lock().own.insert(tool.into_inner(), behaviour);
    HttpResponse::NoContent().finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn tables(common: ToolBehaviour) -> Tables {
        Tables {
            random: ChaCha8Rng::seed_from_u64(3),
            common,
            own: BTreeMap::new(),
        }
    }

    #[test]
    fn shares_of_calls_hang_and_fail() {
        let mut tables = tables(ToolBehaviour {
            hang: 0.1,
            fail: 0.2,
            ..ToolBehaviour::default()
        });
        let fates: Vec<Fate> = (0..2_000).map(|_| tables.draw("rates")).collect();
        let hung = fates.iter().filter(|fate| **fate == Fate::Hang).count();
        let failed = fates
            .iter()
            .filter(|fate| matches!(fate, Fate::Fail(_)))
            .count();
        assert!((150..250).contains(&hung), "{hung}");
        assert!((300..420).contains(&failed), "{failed}");
    }

    #[test]
    fn a_tool_may_have_a_behaviour_of_its_own() {
        let mut tables = tables(ToolBehaviour::default());
        let constant = ToolBehaviour {
            median_ms: 7.0,
            spread: 0.0,
            ..ToolBehaviour::default()
        };
        tables.own.insert("rates".to_owned(), constant);
        assert_eq!(tables.draw("rates"), Fate::Answer(Duration::from_millis(7)));
    }
}

//! An emulated weight store: all downloads together share one limited rate.

use crate::server::{EmbeddedServer, ServerControl};
use actix_web::HttpResponse;
use actix_web::web::{self, ServiceConfig};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use parking_lot::Mutex;
use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes sent at once.
const CHUNK_BYTES: u64 = 64 * 1024;

/// The options of the weight store.
#[derive(Clone, Debug)]
pub struct WeightOptions {
    /// Where to listen; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Bytes of any model.
    pub model_bytes: u64,
    /// Bytes a second for all downloads together.
    pub bytes_per_second: u64,
}

impl Default for WeightOptions {
    fn default() -> Self {
        WeightOptions {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model_bytes: 8 * 1024 * 1024,
            bytes_per_second: 4 * 1024 * 1024,
        }
    }
}

struct Store {
    options: WeightOptions,
    origin: Instant,
    /// When the link is free again, from the origin on.
    free_at: Mutex<Duration>,
}

impl Store {
    /// Books the link for so many bytes; how long to wait until they are through.
    fn book(&self, bytes: u64) -> Duration {
        let rate = self.options.bytes_per_second.max(1) as f64;
        let time = Duration::from_secs_f64(bytes as f64 / rate);
        let now = self.origin.elapsed();
        let mut free_at = self.free_at.lock();
        *free_at = (*free_at).max(now) + time;
        *free_at - now
    }
}

/// A running weight store; dropping it stops it.
pub struct WeightsHandle {
    server: EmbeddedServer,
}

/// Starts emulated weight stores.
pub struct EmulatedWeights;

impl EmulatedWeights {
    /// Starts the store on threads of its own and returns once it listens.
    pub fn start(options: WeightOptions) -> io::Result<WeightsHandle> {
        let listen = options.listen;
        let store = Arc::new(Store {
            options,
            origin: Instant::now(),
            free_at: Mutex::new(Duration::ZERO),
        });
        let configure = move |config: &mut ServiceConfig| {
            config
                .app_data(web::Data::from(store.clone()))
                .route("/weights/{model}/{version}", web::get().to(download));
        };
        let server = EmbeddedServer::start("weights", listen, ServerControl::new(), configure)?;
        Ok(WeightsHandle { server })
    }
}

impl WeightsHandle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops it at once, cutting all downloads.
    pub fn stop(self) {
        drop(self.server);
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        self.server.wait();
    }
}

async fn download(store: web::Data<Store>) -> HttpResponse {
    let length = store.options.model_bytes;
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .no_chunking(length)
        .streaming(chunks(store, length))
}

fn chunks(store: web::Data<Store>, length: u64) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::unfold(length, move |left| {
        let store = store.clone();
        async move {
            let bytes = left.min(CHUNK_BYTES);
            if bytes == 0 {
                return None;
            }
            actix_rt::time::sleep(store.book(bytes)).await;
            static ZEROS: [u8; CHUNK_BYTES as usize] = [0; CHUNK_BYTES as usize];
            let chunk = Bytes::from_static(&ZEROS[..bytes as usize]);
            Some((Ok(chunk), left - bytes))
        }
    })
}

//! Three real controller processes on loopback, with just enough of a key-value store, a cloud and workers around them.

#![allow(dead_code, reason = "each test uses its part")]

mod cloud;
mod controller;
pub mod users;
mod worker;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use lichencrank_testkit::loopback::start_store;
use lichencrank_testkit::sync::lock;

pub use controller::Controller;
use controller::ControllerAddresses;
use worker::StartLog;
pub use worker::TaskStart;

const CONTROLLERS: usize = 3;
/// How long a test waits for what has to come; it hangs rather than judges how fast it came.
const TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What the controllers of a cluster start with.
#[derive(Clone, Copy, Default)]
pub struct ClusterConfig {
    /// Most CPUs of the only team, `vision`; 0 means no limit.
    pub team_limit_cpus: f64,
    /// The features file.
    pub features: Option<&'static str>,
}

/// Controllers with all that is around them.
pub struct Cluster {
    pub controllers: Vec<Controller>,
    starts: StartLog,
    store_unavailable: Arc<AtomicBool>,
    /// Address of the store.
    pub store: SocketAddr,
}

impl Cluster {
    /// A cluster without a team limit or features. The name is that of the test.
    pub fn start(name: &str) -> Cluster {
        Cluster::start_with(name, ClusterConfig::default())
    }

    /// A cluster with that configuration. The name is that of the test.
    pub fn start_with(name: &str, config: ClusterConfig) -> Cluster {
        let features = config.features.map(|text| {
            let file = temporary_file(&format!("{name}.yaml"));
            std::fs::write(&file, text).expect("writing the features file");
            file
        });
        let starts = StartLog::default();
        let store_unavailable = Arc::new(AtomicBool::new(false));
        let store = start_store(store_unavailable.clone());
        let addresses: Vec<ControllerAddresses> = (0..CONTROLLERS)
            .map(|_| ControllerAddresses::free())
            .collect();
        let public = addresses.iter().map(|address| address.public).collect();
        let cloud = cloud::start(public, starts.clone());
        let controllers = (0..CONTROLLERS).map(|index| {
            let settings = controller::settings(index, &addresses, cloud, store, config);
            let file = temporary_file(&format!("{name}-{index}.json"));
            std::fs::write(&file, settings.to_string()).expect("writing the settings file");
            let mut controller = Controller::new(addresses[index], file, features.clone());
            controller.start();
            controller
        });
        Cluster {
            controllers: controllers.collect(),
            starts,
            store_unavailable,
            store,
        }
    }

    /// Public addresses of the controllers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let controllers = self.controllers.iter();
        controllers.map(|controller| controller.address).collect()
    }

    /// Every start of a task so far.
    pub fn task_starts(&self) -> MutexGuard<'_, Vec<TaskStart>> {
        lock(&self.starts)
    }

    /// Begins or ends an outage of the store.
    pub fn set_store_unavailable(&self, unavailable: bool) {
        self.store_unavailable.store(unavailable, Ordering::SeqCst);
    }
}

fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lichencrank-{}-{name}", std::process::id()))
}

/// Waits for something that has to come.
pub fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(found) = check() {
            return found;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("not within {TIMEOUT:?}: {what}");
}

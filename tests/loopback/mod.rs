//! Three real controller processes on loopback, with a minimal state service, cloud and workers around them.

#![allow(dead_code, reason = "each test file uses only a part")]

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

const CONTROLLER_COUNT: usize = 3;
/// How long a test waits for a condition. It only ends a test that hangs: how fast the condition is met is not judged.
const TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What the controllers of a cluster start with.
#[derive(Clone, Copy, Default)]
pub struct ClusterConfig {
    /// Most CPUs of the only team, `vision`; 0 means no limit.
    pub team_limit_cpus: f64,
    /// Content of the features file, if there is one.
    pub features: Option<&'static str>,
}

/// Controllers and the services around them.
pub struct Cluster {
    /// The controller processes.
    pub controllers: Vec<Controller>,
    start_log: StartLog,
    is_store_unavailable: Arc<AtomicBool>,
    /// Address of the state service.
    pub store: SocketAddr,
}

impl Cluster {
    /// Starts a cluster without a team limit or features. `name` has to differ between tests.
    pub fn start(name: &str) -> Cluster {
        Cluster::start_with(name, ClusterConfig::default())
    }

    /// Starts a cluster with that configuration. `name` has to differ between tests.
    pub fn start_with(name: &str, config: ClusterConfig) -> Cluster {
        let features = config.features.map(|text| {
            let file = temporary_file(&format!("{name}.yaml"));
            std::fs::write(&file, text).expect("writing the features file");
            file
        });
        let start_log = StartLog::default();
        let is_store_unavailable = Arc::new(AtomicBool::new(false));
        let store = start_store(is_store_unavailable.clone());
        let addresses: Vec<ControllerAddresses> = (0..CONTROLLER_COUNT)
            .map(|_| ControllerAddresses::free())
            .collect();
        let public_addresses = addresses.iter().map(|address| address.public).collect();
        let cloud = cloud::start(public_addresses, start_log.clone());
        let controllers = (0..CONTROLLER_COUNT).map(|index| {
            let settings = controller::settings(index, &addresses, cloud, store, config);
            let file = temporary_file(&format!("{name}-{index}.json"));
            std::fs::write(&file, settings.to_string()).expect("writing the settings file");
            let mut controller = Controller::new(addresses[index], file, features.clone());
            controller.start();
            controller
        });
        Cluster {
            controllers: controllers.collect(),
            start_log,
            is_store_unavailable,
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
        lock(&self.start_log)
    }

    /// Begins or ends an outage of the state service.
    pub fn set_store_unavailable(&self, is_unavailable: bool) {
        self.is_store_unavailable
            .store(is_unavailable, Ordering::SeqCst);
    }
}

fn temporary_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lichencrank-{}-{name}", std::process::id()))
}

/// Waits until `check` returns a value. `expected` says what it waits for.
pub fn wait_for<T>(expected: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = check() {
            return value;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("not within {TIMEOUT:?}: {expected}");
}

//! A controller process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use lichencrank_testkit::http::call;
use serde_json::{json, Value};

use super::ClusterConfig;

/// How often a process that ends by itself is started.
const MAX_STARTS: usize = 50;
const RESTART_PAUSE: Duration = Duration::from_millis(50);
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Where a controller listens.
#[derive(Clone, Copy, Debug)]
pub struct ControllerAddresses {
    /// For users and workers.
    pub public: SocketAddr,
    /// For the other controllers.
    internal: SocketAddr,
}

impl ControllerAddresses {
    /// Addresses that are free now.
    pub fn free() -> ControllerAddresses {
        ControllerAddresses {
            public: free_address(),
            internal: free_address(),
        }
    }
}

/// An address that is free. Each has a loopback host of its own: on 127.0.0.1 a port that is free now may be given to
/// a server of another test before the controller listens on it.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (pid, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let host = [127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, next];
    let listener = TcpListener::bind((Ipv4Addr::from(host), 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// The settings of the controller of that index.
pub fn settings(
    index: usize,
    addresses: &[ControllerAddresses],
    cloud: SocketAddr,
    store: SocketAddr,
    config: ClusterConfig,
) -> Value {
    let name = |index: usize| format!("node-{index}");
    let others = (0..addresses.len()).filter(|other| *other != index);
    let others: Vec<Value> = others
        .map(|other| {
            json!({"host_name": name(other), "area": "a", "addr": addresses[other].internal})
        })
        .collect();
    json!({
        "host_name": name(index), "area": "a", "front": addresses[index].public,
        "internal_addr": addresses[index].internal, "others": others,
        "outside": {"cloud": cloud, "state": store},
        "settings": {
            "zones": ["a"],
            "teams": [{"name": "vision", "cpus": 0.0, "cpus_max": config.team_limit_cpus}],
            "workers": {"report_s": 0.4, "lease_s": 20.0, "cancel_s": 30.0},
            "state": {"rps": 500.0, "write_rps": 300.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 20.0, "list_lag_s": 1.0},
            "resources": {"sockets": 300},
        }
    })
}

/// A controller process, which ends with this value.
pub struct Controller {
    /// Its public address.
    pub address: SocketAddr,
    settings: PathBuf,
    features: Option<PathBuf>,
    process: Option<Child>,
}

impl Controller {
    /// A controller that does not run yet.
    pub fn new(
        addresses: ControllerAddresses,
        settings: PathBuf,
        features: Option<PathBuf>,
    ) -> Controller {
        Controller {
            address: addresses.public,
            settings,
            features,
            process: None,
        }
    }

    /// Its settings file.
    pub fn settings_file(&self) -> &Path {
        &self.settings
    }

    /// Starts the process and waits until it answers. One that ends by itself is started again, as the platform does:
    /// while another test's child is between its fork and its program, it still holds the socket that found this
    /// address to be free, and the address is in use.
    pub fn start(&mut self) {
        for _ in 0..MAX_STARTS {
            let mut process = self.spawn();
            if self.waits_for_answer(&mut process) {
                self.process = Some(process);
                return;
            }
            thread::sleep(RESTART_PAUSE);
        }
        panic!("{} does not stay up", self.address);
    }

    fn spawn(&self) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lichencrank"));
        command.arg("--config").arg(&self.settings);
        if let Some(features) = &self.features {
            command.arg("--features").arg(features);
        }
        let child = command
            .env("LOG_LEVEL", "info")
            .stderr(Stdio::null())
            .spawn();
        child.expect("the binary starts")
    }

    /// Whether the process answers before it ends.
    fn waits_for_answer(&self, process: &mut Child) -> bool {
        loop {
            if call(self.address, "GET", "/healthz", &[]).is_some() {
                return true;
            }
            if matches!(process.try_wait(), Ok(Some(_))) {
                return false;
            }
            thread::sleep(HEALTH_POLL_INTERVAL);
        }
    }

    /// Kills the process without a warning.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Kills the process and starts it again.
    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

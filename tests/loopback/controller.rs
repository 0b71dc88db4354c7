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

/// How many times a process is started that exits by itself.
const MAX_START_ATTEMPTS: usize = 50;
const RESTART_PAUSE: Duration = Duration::from_millis(50);
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The addresses on which a controller listens.
#[derive(Clone, Copy, Debug)]
pub struct ControllerAddresses {
    /// For users and workers.
    pub public: SocketAddr,
    /// For the other controllers.
    internal: SocketAddr,
}

impl ControllerAddresses {
    /// Two addresses that are free now.
    pub fn free() -> ControllerAddresses {
        ControllerAddresses {
            public: free_address(),
            internal: free_address(),
        }
    }
}

/// An address that is free now. Each has a loopback IP address of its own: on 127.0.0.1, the port may be assigned to a
/// server of another test before the controller listens on it.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let (pid, host_number) = (std::process::id(), NEXT_HOST.fetch_add(1, Ordering::SeqCst));
    let ip = [
        127,
        1 + (pid % 250) as u8,
        (pid / 250 % 250) as u8,
        host_number,
    ];
    let listener = TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// The settings of the controller with that index.
pub fn settings(
    index: usize,
    addresses: &[ControllerAddresses],
    cloud: SocketAddr,
    store: SocketAddr,
    config: ClusterConfig,
) -> Value {
    let name = |index: usize| format!("node-{index}");
    let peers = (0..addresses.len()).filter(|peer| *peer != index);
    let peers: Vec<Value> = peers
        .map(|peer| json!({"host_name": name(peer), "area": "a", "addr": addresses[peer].internal}))
        .collect();
    json!({
        "host_name": name(index), "area": "a", "front": addresses[index].public,
        "internal_addr": addresses[index].internal, "others": peers,
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

/// A controller process, which is killed when this value is dropped.
pub struct Controller {
    /// Its public address.
    pub address: SocketAddr,
    settings_file: PathBuf,
    features_file: Option<PathBuf>,
    process: Option<Child>,
}

impl Controller {
    /// A controller that does not run yet.
    pub fn new(
        addresses: ControllerAddresses,
        settings_file: PathBuf,
        features_file: Option<PathBuf>,
    ) -> Controller {
        Controller {
            address: addresses.public,
            settings_file,
            features_file,
            process: None,
        }
    }

    /// Path of its settings file.
    pub fn settings_file(&self) -> &Path {
        &self.settings_file
    }

    /// Starts the process and waits until it responds. A process that exits by itself is started again, as the platform
    /// does. It may exit because its address is still in use: a child process that another test forks inherits the
    /// socket with which [`free_address`] found the address, and holds it until the child executes its program.
    pub fn start(&mut self) {
        for _ in 0..MAX_START_ATTEMPTS {
            let mut process = self.spawn();
            if self.responds_before_exit(&mut process) {
                self.process = Some(process);
                return;
            }
            thread::sleep(RESTART_PAUSE);
        }
        panic!("the controller at {} exits at every start", self.address);
    }

    fn spawn(&self) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lichencrank"));
        command.arg("--config").arg(&self.settings_file);
        if let Some(features_file) = &self.features_file {
            command.arg("--features").arg(features_file);
        }
        let child = command
            .env("LOG_LEVEL", "info")
            .stderr(Stdio::null())
            .spawn();
        child.expect("the binary starts")
    }

    /// Waits until the process responds, or returns false if it exits first.
    fn responds_before_exit(&self, process: &mut Child) -> bool {
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

    /// Kills the process; it gets no signal that it could handle.
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
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

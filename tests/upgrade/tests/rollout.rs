//! Rolling upgrades, played by controllers that really run two versions of the service, in one
//! simulation. The checker judges every event as it happens: no job is lost, no task runs on two machines,
//! no answer is older than one given before. A failure prints the seed and the history of the run.

#[path = "../../simulated/mod.rs"]
#[allow(dead_code, reason = "the cluster test uses the rest of the simulation")]
mod simulated;

use simulated::process::{Launch, Launcher, Version};
use simulated::runner::{scenario_names, seeds_from_environment, start_logging, Scenario};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Defines the launcher of an earlier version: its node behind the interface of the simulation.
macro_rules! earlier_version {
    ($module:ident, $service:ident) => {
        mod $module {
            use crate::simulated::process::{launch_current, Process, ProcessConfig, Version};
            use crate::simulated::transport::{CallParameters, SimTransport};
            use lichencrank::transport as current;
            use std::net::SocketAddr;
            use std::time::Duration;
            use $service::node::Node;
            use $service::settings::{Settings, Tuning};
            use $service::transport as earlier;
            use $service::types::Time;

            /// The earlier version's network, on the transport of the simulation.
            struct TransportAdapter(SimTransport);

            impl earlier::Network for TransportAdapter {
                fn now(&self) -> Time {
                    Time(self.0.uptime_ms())
                }

                fn time_of_day(&self) -> u64 {
                    self.0.wall_clock_ms()
                }

                fn respond(&mut self, conn: earlier::ConnId, response: &earlier::Response) {
                    let conn = current::ConnectionId {
                        slot: conn.slot,
                        serial: conn.serial,
                    };
                    let response = current::Response {
                        status: response.status,
                        body: response.body.clone(),
                        retry_after: response.retry_after,
                        close: response.close,
                    };
                    self.0.send_response(conn, response);
                }

                fn call(
                    &mut self,
                    to: SocketAddr,
                    method: &str,
                    target: &str,
                    body: &[u8],
                    limit: Duration,
                ) -> earlier::CallId {
                    earlier::CallId(self.0.send_call(&CallParameters {
                        server: to,
                        method,
                        target,
                        body,
                        timeout: limit,
                    }))
                }

                fn sockets(&self) -> (usize, usize) {
                    (0, 0)
                }
            }

            fn translated(event: current::TransportEvent) -> earlier::Happening {
                match event {
                    current::TransportEvent::Request {
                        connection,
                        listener,
                        request,
                    } => earlier::Happening::Request {
                        conn: earlier::ConnId {
                            slot: connection.slot,
                            serial: connection.serial,
                        },
                        door: match listener {
                            current::ListenerKind::Public => earlier::Door::Front,
                            current::ListenerKind::Internal => earlier::Door::Internal,
                        },
                        request: earlier::Request {
                            method: request.method,
                            target: request.target,
                            body: request.body,
                            close: request.close,
                        },
                    },
                    current::TransportEvent::Reply { call, result } => earlier::Happening::Reply {
                        call: earlier::CallId(call.0),
                        result: match result {
                            Ok(response) => Ok(earlier::Response {
                                status: response.status,
                                body: response.body,
                                retry_after: response.retry_after,
                                close: response.close,
                            }),
                            Err(current::CallError::NotSent) => Err(earlier::CallError::NotSent),
                            Err(current::CallError::NoSocket) => Err(earlier::CallError::NoSocket),
                            Err(current::CallError::Lost) => Err(earlier::CallError::Lost),
                        },
                    },
                }
            }

            impl Process for Node<TransportAdapter> {
                fn handle_event(&mut self, event: current::TransportEvent) {
                    Node::on(self, translated(event));
                }

                fn run_due_work(&mut self) {
                    Node::attend(self);
                }

                fn next_wakeup(&self) -> Duration {
                    Duration::from_millis(Node::next_wake(self).0)
                }
            }

            pub fn launch(config: ProcessConfig) -> Box<dyn Process> {
                if config.version == Version::Current {
                    return launch_current(config);
                }
                let settings = Settings::parse(&config.settings).expect("settings");
                let network = TransportAdapter(config.transport);
                let node = Node::new(settings, Tuning::default(), network, config.incarnation);
                Box::new(node)
            }
        }
    };
}

earlier_version!(version_87cd4a4, lichencrank_87cd4a4);
earlier_version!(version_b348541, lichencrank_b348541);

/// A version that upgrades start from.
struct EarlierVersion {
    /// The first digits of its commit.
    name: &'static str,
    launch: Launch,
}

const EARLIER_VERSIONS: [EarlierVersion; 2] = [
    EarlierVersion {
        name: "87cd4a4",
        launch: version_87cd4a4::launch,
    },
    EarlierVersion {
        name: "b348541",
        launch: version_b348541::launch,
    },
];

/// The seeds of every scenario, unless `CLUSTER_SEEDS` names others.
const DEFAULT_SEEDS: Range<u64> = 1..4;

fn scenario_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn play(name: &str, versions: &[EarlierVersion]) {
    start_logging();
    let scenario = Scenario::load(&scenario_directory(), name);
    let seeds = seeds_from_environment("CLUSTER_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let mut failures = Vec::new();
    for version in versions {
        let launcher = Launcher {
            first_version: Version::Earlier,
            launch: version.launch,
        };
        for failure in scenario.failures(seeds.clone(), launcher) {
            failures.push(format!("from {}: {failure}", version.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n\n"));
}

/// Defines one test for each scenario file, which plays it with each of the earlier versions.
macro_rules! scenarios {
    ($($name:ident: $versions:expr;)*) => {
        $(
            #[test]
            fn $name() {
                play(stringify!($name), $versions);
            }
        )*

        const SCENARIOS: &[&str] = &[$(stringify!($name)),*];
    };
}

scenarios! {
    leader_first: &EARLIER_VERSIONS;
    leader_last: &EARLIER_VERSIONS;
    one_zone_first: &EARLIER_VERSIONS;
    back_and_forth: &EARLIER_VERSIONS;
    limits_fall: &EARLIER_VERSIONS;
    limits_fall_at_takeover: &EARLIER_VERSIONS;
    cancelled_between_versions: &EARLIER_VERSIONS;
    zones_between_versions: &EARLIER_VERSIONS;
    quota_between_versions: &EARLIER_VERSIONS;
    broken_off: &EARLIER_VERSIONS;
    // Version 87cd4a4 does not know services.
    broken_off_with_services: &EARLIER_VERSIONS[1..];
}

#[test]
fn every_scenario_file_is_played() {
    let mut played = SCENARIOS.to_vec();
    played.sort_unstable();
    assert_eq!(scenario_names(&scenario_directory()), played);
}

//! Rolling upgrades in one simulation, in which the controllers run the real code of two versions of the service. The
//! checker judges every event as it happens: no job is lost, no task runs on two hosts at the same time, no answer is older
//! than one given before. A failure prints the seed and the history of the run.

#[path = "../../simulated/mod.rs"]
#[allow(dead_code, reason = "the cluster test uses the rest of the simulation")]
mod simulated;

use simulated::process::{Launch, Launcher, Version};
use simulated::runner::{scenario_names, seeds_from_environment, start_logging, Scenario};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// Defines a module that launches nodes of an earlier version, and adapts them to the interfaces of the simulation.
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

            /// Implements the earlier version's `Network` with the transport of the simulation.
            struct TransportAdapter(SimTransport);

            impl earlier::Network for TransportAdapter {
                fn now(&self) -> Time {
                    Time(self.0.uptime_ms())
                }

                fn time_of_day(&self) -> u64 {
                    self.0.wall_clock_ms()
                }

                fn respond(&mut self, conn: earlier::ConnId, response: &earlier::Response) {
                    let connection = current::ConnectionId {
                        slot: conn.slot,
                        serial: conn.serial,
                    };
                    let response = current::Response {
                        status: response.status,
                        body: response.body.clone(),
                        retry_after: response.retry_after,
                        close: response.close,
                    };
                    self.0.send_response(connection, response);
                }

                fn call(
                    &mut self,
                    server: SocketAddr,
                    method: &str,
                    target: &str,
                    body: &[u8],
                    timeout: Duration,
                ) -> earlier::CallId {
                    earlier::CallId(self.0.send_call(&CallParameters {
                        server,
                        method,
                        target,
                        body,
                        timeout,
                    }))
                }

                fn sockets(&self) -> (usize, usize) {
                    (0, 0)
                }
            }

            /// The event in the earlier version's types.
            fn to_earlier_event(event: current::TransportEvent) -> earlier::Happening {
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
                    Node::on(self, to_earlier_event(event));
                }

                fn run_due_work(&mut self) {
                    Node::attend(self);
                }

                fn next_wakeup(&self) -> Duration {
                    Duration::from_millis(Node::next_wake(self).0)
                }
            }

            /// Launches a node of the version in `config`: this one or the earlier one.
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

/// An earlier version, from which upgrades start.
struct EarlierVersion {
    /// The first seven digits of its commit's hash.
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

/// The seeds with which every scenario is played, unless `CLUSTER_SEEDS` names others.
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

/// Defines one test for each scenario file, which plays the scenario with each of the given earlier versions.
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
    // Version 87cd4a4 does not support services.
    broken_off_with_services: &EARLIER_VERSIONS[1..];
}

#[test]
fn every_scenario_file_is_played() {
    let mut played = SCENARIOS.to_vec();
    played.sort_unstable();
    assert_eq!(scenario_names(&scenario_directory()), played);
}

//! Rolling upgrades, played by controllers that really run two versions of the service, in one
//! simulated world. The checker judges every event as it happens: no job lost, no task on two machines,
//! no answer older than one given. A failure prints the seed and the history.

#[path = "../../simulated/mod.rs"]
#[allow(
    dead_code,
    reason = "the cluster test uses the rest of the simulated world"
)]
mod simulated;

use simulated::process::{launch_current, Launch, Launcher, Process, Start, Version};
use simulated::script::Script;
use simulated::World;

/// Defines the launcher of an earlier version: its node behind the interface of the simulated world.
macro_rules! earlier_version {
    ($module:ident, $service:ident) => {
        mod $module {
            use super::*;
            use crate::simulated::network::{PlainCall, SimNet};
            use lichencrank::transport as current;
            use std::net::SocketAddr;
            use std::time::Duration;
            use $service::node::Node;
            use $service::settings::{Settings, Tuning};
            use $service::transport as earlier;
            use $service::types::Time;

            struct Net(SimNet);

            impl earlier::Network for Net {
                fn now(&self) -> Time {
                    Time(self.0.now_ms())
                }

                fn time_of_day(&self) -> u64 {
                    self.0.time_of_day_ms()
                }

                fn respond(&mut self, conn: earlier::ConnId, response: &earlier::Response) {
                    let conn = current::ConnId {
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
                    earlier::CallId(self.0.send_call(&PlainCall {
                        to,
                        method,
                        target,
                        body,
                        limit,
                    }))
                }

                fn sockets(&self) -> (usize, usize) {
                    (0, 0)
                }
            }

            fn translated(event: current::TransportEvent) -> earlier::Happening {
                match event {
                    current::TransportEvent::Request {
                        conn,
                        listener,
                        request,
                    } => earlier::Happening::Request {
                        conn: earlier::ConnId {
                            slot: conn.slot,
                            serial: conn.serial,
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

            impl Process for Node<Net> {
                fn handle_event(&mut self, event: current::TransportEvent) {
                    Node::on(self, translated(event));
                }

                fn run_due_work(&mut self) {
                    Node::attend(self);
                }

                fn next_wake(&self) -> u64 {
                    Node::next_wake(self).0
                }
            }

            pub fn launch(start: Start) -> Box<dyn Process> {
                if start.version == Version::Current {
                    return launch_current(start);
                }
                let settings = Settings::parse(&start.settings).expect("settings");
                let net = Net(start.net);
                let node = Node::new(settings, Tuning::default(), net, start.incarnation);
                Box::new(node)
            }
        }
    };
}

earlier_version!(version_87cd4a4, lichencrank_87cd4a4);
earlier_version!(version_b348541, lichencrank_b348541);

/// The versions that upgrades start from.
const EARLIER: [(&str, Launch); 2] = [
    ("87cd4a4", version_87cd4a4::launch),
    ("b348541", version_b348541::launch),
];

/// Seeds to play instead of a scenario's own, such as `100..200`, to hunt by hand.
fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("CLUSTER_SEEDS").unwrap_or_default();
    let range = text.split_once("..").map(|(from, to)| {
        let number = |text: &str| text.parse().expect("a range of seeds");
        number(from)..number(to)
    });
    range.unwrap_or(1..4)
}

fn play(name: &str) {
    play_from(name, &EARLIER);
}

fn play_from(name: &str, versions: &[(&str, Launch)]) {
    let level = std::env::var("LOG_LEVEL").ok();
    lichencrank::logging::start(level.as_deref().or(Some("off")));
    let file = format!("{}/scenarios/{name}.scenario", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&file).unwrap_or_else(|e| panic!("{file}: {e}"));
    let script = Script::parse(&text);
    let mut broken = Vec::new();
    for (version, launch) in versions {
        let launcher = Launcher {
            first: Version::Earlier,
            launch: *launch,
        };
        for seed in seeds() {
            let mut world = World::new(script.site.clone(), seed, launcher);
            if let Err(why) = world.play(&script) {
                broken.push(format!("{name} from {version}, seed {seed}:\n{why}"));
            }
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n\n"));
}

#[test]
fn leader_first() {
    play("leader_first");
}

#[test]
fn leader_last() {
    play("leader_last");
}

#[test]
fn one_zone_first() {
    play("one_zone_first");
}

#[test]
fn back_and_forth() {
    play("back_and_forth");
}

#[test]
fn limits_fall() {
    play("limits_fall");
}

#[test]
fn limits_fall_at_takeover() {
    play("limits_fall_at_takeover");
}

#[test]
fn cancelled_between_versions() {
    play("cancelled_between_versions");
}

#[test]
fn zones_between_versions() {
    play("zones_between_versions");
}

#[test]
fn quota_between_versions() {
    play("quota_between_versions");
}

#[test]
fn broken_off() {
    play("broken_off");
}

/// The first version does not know services.
#[test]
fn broken_off_with_services() {
    play_from("broken_off_with_services", &EARLIER[1..]);
}

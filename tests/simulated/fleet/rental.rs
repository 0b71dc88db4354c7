//! The cloud's requests: machines are rented and given up.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::Value;
use lichencrank::protocol::{decode, encode};
use lichencrank::transport::Response;
use lichencrank_testkit::values::{get, list, map, number, text};

use super::{Fleet, Surroundings};
use crate::simulated::checker::HeldTask;
use crate::simulated::event_queue::Event;
use crate::simulated::history::Mark;
use crate::simulated::ids::CallHandle;
use crate::simulated::transport::OutgoingCall;

/// By then a leader has noticed that a zone is isolated.
const ISOLATION_NOTICED_AFTER: Duration = Duration::from_secs(15);
/// By then a healthy worker has sent a heartbeat after an isolation.
const ZONE_RETURNED_AFTER: Duration = Duration::from_secs(8);
/// Time that the cloud takes for an answer.
const CLOUD_LATENCY: Duration = Duration::from_millis(20);

impl Fleet {
    /// Answers a controller's request to the cloud.
    pub fn handle_cloud_request(
        &mut self,
        surroundings: &mut Surroundings,
        call: CallHandle,
        request: &OutgoingCall,
    ) {
        let now = surroundings.context.now();
        let body = decode(&request.body).unwrap_or(Value::Null);
        let path = request.target.split('?').next().unwrap_or("");
        let (status, answer) = match (request.method.as_str(), path) {
            _ if self.cloud.is_away(now) => (503, error("trouble")),
            ("GET", "/machine_types") => (200, self.machine_types.clone()),
            ("POST", "/hosts") => self.rent(surroundings, &body),
            ("POST", "/hosts/release") => {
                let hosts = list(&body, "hosts").iter();
                let hosts: Vec<String> = hosts
                    .filter_map(|host| host.as_text().map(str::to_owned))
                    .collect();
                self.release(surroundings, &hosts);
                (200, map(vec![]))
            }
            _ => (200, self.cloud.list(now, &request.target)),
        };
        let delay = CLOUD_LATENCY + surroundings.context.network_latency();
        let response = Response::new(status, encode(&answer));
        let reply = Event::ControllerReply {
            call,
            result: Ok(response),
        };
        surroundings.context.schedule_after(delay, reply);
    }

    fn rent(&mut self, surroundings: &mut Surroundings, body: &Value) -> (u16, Value) {
        let key = text(body, "ask");
        if let Some(answer) = self.cloud.earlier_rental_answer(&key) {
            return (200, answer.clone());
        }
        let is_spot = get(body, "loaners").and_then(Value::as_bool) == Some(true);
        let zone = text(body, "hall");
        if is_known_to_be_isolated(surroundings, &zone) {
            surroundings.context.mark(Mark::RentedInIsolatedZone);
        }
        let available = self.cloud.available_machines() as u64;
        let count = number(body, "howMany").min(available);
        if count == 0 {
            return (503, error("no capacity"));
        }
        let hosts = (0..count).map(|_| {
            let host = self.add_machine(surroundings.context, &zone, is_spot, None);
            Value::from(host)
        });
        let answer = map(vec![("hosts", Value::Array(hosts.collect()))]);
        self.cloud.keep_rental_answer(key, answer.clone());
        (200, answer)
    }

    fn release(&mut self, surroundings: &mut Surroundings, hosts: &[String]) {
        self.judge_release(surroundings, hosts);
        for host in hosts {
            self.remove_machine(surroundings, host);
        }
    }

    /// What the leader gives up of an isolated zone, or right after the isolation, is judged.
    fn judge_release(&self, surroundings: &mut Surroundings, hosts: &[String]) {
        let now = surroundings.context.now();
        let Some(isolation) = surroundings.network.last_isolation() else {
            return;
        };
        let machines: BTreeMap<String, Vec<HeldTask>> = self
            .workers_in(&isolation.zone)
            .map(|worker| (worker.spec().name.clone(), worker.tasks().held_tasks()))
            .collect();
        let released = || hosts.iter().filter_map(|host| machines.get(host));
        if isolation.window.is_active(now) {
            if self.judges_zone_releases {
                for _ in released() {
                    surroundings.context.mark(Mark::ReleasedInIsolatedZone);
                }
                let checker = surroundings.context.checker_mut();
                checker.observe_zone_release(now, hosts, &machines);
            }
        } else if now < isolation.window.ends_at() + ZONE_RETURNED_AFTER {
            for tasks in released() {
                if surroundings.context.checker().is_wanted_work(tasks) {
                    surroundings.context.mark(Mark::ReleasedAfterIsolation);
                }
            }
        }
    }
}

fn is_known_to_be_isolated(surroundings: &Surroundings, zone: &str) -> bool {
    let now = surroundings.context.now();
    let isolation = surroundings.network.last_isolation();
    surroundings.network.is_isolated(now, zone)
        && isolation.is_some_and(|isolation| now > isolation.started_at + ISOLATION_NOTICED_AFTER)
}

fn error(message: &str) -> Value {
    map(vec![("error", message.into())])
}

//! Workers that send heartbeats to one controller at a time and simulate the execution of tasks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ciborium::Value;
use lichencrank::protocol::encode;
use lichencrank_testkit::http::{call, serve, HttpResponse};
use lichencrank_testkit::sync::lock;
use lichencrank_testkit::values::{list, map, number, text};

/// Run time of each task.
const TASK_RUN_TIME: Duration = Duration::from_millis(700);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The start of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskStart {
    /// Name of the task, such as `job-000412/3`.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the host.
    pub host: String,
}

/// Every start of a task on any worker.
pub type StartLog = Arc<Mutex<Vec<TaskStart>>>;

/// An attempt at a task on a worker.
struct Attempt {
    task: String,
    number: u64,
    ends_at: Instant,
    /// Why it ended, as the protocol names the reason; `None` while it runs.
    end_reason: Option<&'static str>,
}

/// The state of a worker.
struct Worker {
    name: String,
    address: String,
    sequence_number: u64,
    /// The highest fencing token that the worker has seen.
    fencing_token: u64,
    attempts: Vec<Attempt>,
    start_log: StartLog,
}

impl Worker {
    fn heartbeat(&mut self) -> Value {
        self.sequence_number += 1;
        let now = Instant::now();
        for attempt in &mut self.attempts {
            if attempt.ends_at <= now {
                attempt.end_reason.get_or_insert("done");
            }
        }
        let attempts = self.attempts.iter().map(Attempt::status);
        map(vec![
            ("host", self.name.as_str().into()),
            ("address", self.address.as_str().into()),
            ("hosttype", "c4".into()),
            ("hall", "a".into()),
            ("loaners", false.into()),
            ("tenure", 1.into()),
            ("tick", self.sequence_number.into()),
            ("baton", self.fencing_token.into()),
            ("pieces", Value::Array(attempts.collect())),
        ])
    }

    /// Executes the commands of a message unless its fencing token is missing or below the highest one seen. Returns
    /// whether it did.
    fn execute(&mut self, message: &Value) -> bool {
        let fencing_token = number(message, "baton");
        if fencing_token < self.fencing_token || fencing_token == 0 {
            return false;
        }
        self.fencing_token = fencing_token;
        for command in list(message, "orders") {
            self.execute_command(command);
        }
        true
    }

    fn execute_command(&mut self, command: &Value) {
        let (task, number) = (text(command, "piece"), number(command, "try"));
        let mut attempts = self.attempts.iter();
        let attempt_index =
            attempts.position(|attempt| attempt.task == task && attempt.number == number);
        match (text(command, "verb").as_str(), attempt_index) {
            ("run", None) => self.run(task, number),
            ("stop", Some(index)) => {
                let end_reason = &mut self.attempts[index].end_reason;
                end_reason.get_or_insert("halted");
            }
            ("clear", Some(index)) if self.attempts[index].end_reason.is_some() => {
                self.attempts.remove(index);
            }
            _ => {}
        }
    }

    fn run(&mut self, task: String, number: u64) {
        lock(&self.start_log).push(TaskStart {
            task: task.clone(),
            attempt: number,
            host: self.name.clone(),
        });
        self.attempts.push(Attempt {
            task,
            number,
            ends_at: Instant::now() + TASK_RUN_TIME,
            end_reason: None,
        });
    }
}

impl Attempt {
    fn status(&self) -> Value {
        let state = if self.end_reason.is_some() {
            "ended"
        } else {
            "running"
        };
        map(vec![
            ("piece", self.task.as_str().into()),
            ("try", self.number.into()),
            ("status", state.into()),
            ("cause", self.end_reason.map_or(Value::Null, Value::from)),
        ])
    }
}

/// Starts a worker that sends heartbeats to the controllers until `is_released` is set.
pub fn start(
    name: String,
    controllers: Vec<SocketAddr>,
    start_log: StartLog,
    is_released: Arc<AtomicBool>,
) {
    let worker = Arc::new(Mutex::new(Worker {
        name,
        address: String::new(),
        sequence_number: 0,
        fencing_token: 0,
        attempts: Vec::new(),
        start_log,
    }));
    let (commanded_worker, is_host_released) = (worker.clone(), is_released.clone());
    let address = serve(move |_, _, body| {
        if is_host_released.load(Ordering::SeqCst) {
            return HttpResponse::without_body(500);
        }
        let mut worker = lock(&commanded_worker);
        let status = if worker.execute(body) { 200 } else { 409 };
        HttpResponse {
            status,
            body: worker.heartbeat(),
        }
    });
    lock(&worker).address = address.to_string();
    thread::spawn(move || {
        let mut controller_index = 0;
        while !is_released.load(Ordering::SeqCst) {
            controller_index =
                match send_heartbeat(&worker, controllers[controller_index % controllers.len()]) {
                    HeartbeatResult::Accepted => controller_index,
                    HeartbeatResult::Redirected { leader_index } => leader_index,
                    HeartbeatResult::Failed => controller_index + 1,
                };
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// How a controller responded to a heartbeat.
enum HeartbeatResult {
    Accepted,
    /// Another controller leads.
    Redirected {
        leader_index: usize,
    },
    /// There was no response, or none that the worker can use.
    Failed,
}

fn send_heartbeat(worker: &Mutex<Worker>, controller: SocketAddr) -> HeartbeatResult {
    let heartbeat = encode(&lock(worker).heartbeat());
    let Some(response) = call(controller, "POST", "/agent/beat", &heartbeat) else {
        return HeartbeatResult::Failed;
    };
    match response.status {
        200 => {
            lock(worker).execute(&response.body);
            HeartbeatResult::Accepted
        }
        421 => {
            let leader = text(&response.body, "foreman");
            let index = leader.strip_prefix("node-").and_then(|n| n.parse().ok());
            index.map_or(HeartbeatResult::Failed, |leader_index| {
                HeartbeatResult::Redirected { leader_index }
            })
        }
        _ => HeartbeatResult::Failed,
    }
}

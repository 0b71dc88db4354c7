//! Workers: each reports to one controller at a time and pretends to run tasks.

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

/// How long a task runs.
const TASK_TIME: Duration = Duration::from_millis(700);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The start of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskStart {
    /// Name of the task, such as `job-000412/3`.
    pub task: String,
    /// Which attempt it was.
    pub attempt: u64,
    /// Name of the machine.
    pub host: String,
}

/// Every start of a task, for the tests to judge.
pub type StartLog = Arc<Mutex<Vec<TaskStart>>>;

/// An attempt at a task on a worker.
struct Attempt {
    task: String,
    number: u64,
    ends_at: Instant,
    /// Why it ended, in the words of the protocol.
    end_reason: Option<&'static str>,
}

/// A worker as its machine knows it.
struct Worker {
    name: String,
    address: String,
    sequence: u64,
    fencing_token: u64,
    attempts: Vec<Attempt>,
    starts: StartLog,
}

impl Worker {
    fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
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
            ("tick", self.sequence.into()),
            ("baton", self.fencing_token.into()),
            ("pieces", Value::Array(attempts.collect())),
        ])
    }

    /// Executes commands whose fencing token is not below the highest seen. Returns whether it did.
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
        let known = attempts.position(|a| a.task == task && a.number == number);
        match (text(command, "verb").as_str(), known) {
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
        lock(&self.starts).push(TaskStart {
            task: task.clone(),
            attempt: number,
            host: self.name.clone(),
        });
        self.attempts.push(Attempt {
            task,
            number,
            ends_at: Instant::now() + TASK_TIME,
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

/// Starts a worker that reports to the controllers until `released` is set.
pub fn start(
    name: String,
    controllers: Vec<SocketAddr>,
    starts: StartLog,
    released: Arc<AtomicBool>,
) {
    let worker = Arc::new(Mutex::new(Worker {
        name,
        address: String::new(),
        sequence: 0,
        fencing_token: 0,
        attempts: Vec::new(),
        starts,
    }));
    let (commanded, is_released) = (worker.clone(), released.clone());
    let address = serve(move |_, _, body| {
        if is_released.load(Ordering::SeqCst) {
            return HttpResponse::without_body(500);
        }
        let mut worker = lock(&commanded);
        let status = if worker.execute(body) { 200 } else { 409 };
        HttpResponse {
            status,
            body: worker.heartbeat(),
        }
    });
    lock(&worker).address = address.to_string();
    thread::spawn(move || {
        let mut controller = 0;
        while !released.load(Ordering::SeqCst) {
            controller = match report(&worker, controllers[controller % controllers.len()]) {
                Answer::Accepted => controller,
                Answer::Redirected { leader } => leader,
                Answer::Failed => controller + 1,
            };
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// What a controller said to a heartbeat.
enum Answer {
    Accepted,
    /// That controller leads.
    Redirected {
        leader: usize,
    },
    Failed,
}

fn report(worker: &Mutex<Worker>, controller: SocketAddr) -> Answer {
    let heartbeat = encode(&lock(worker).heartbeat());
    let Some(response) = call(controller, "POST", "/agent/beat", &heartbeat) else {
        return Answer::Failed;
    };
    match response.status {
        200 => {
            lock(worker).execute(&response.body);
            Answer::Accepted
        }
        421 => {
            let leader = text(&response.body, "foreman");
            let index = leader.strip_prefix("node-").and_then(|n| n.parse().ok());
            index.map_or(Answer::Failed, |leader| Answer::Redirected { leader })
        }
        _ => Answer::Failed,
    }
}

//! The seam between a node and the simulated world.

use lichencrank::transport::{CallId, ConnId, Network, Request, Response, SocketUsage};
use lichencrank::types::Time;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub struct Call {
    pub id: CallId,
    pub to: SocketAddr,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    pub limit: u64,
}

impl Call {
    pub fn request(self) -> Request {
        Request {
            method: self.method,
            target: self.target,
            body: self.body,
            close: false,
        }
    }
}

/// What a node sent.
pub enum Out {
    Respond(ConnId, Response),
    Call(Call),
}

pub struct SimNet {
    clock: Rc<Cell<u64>>,
    started: u64,
    serial: u64,
    out: Rc<RefCell<Vec<Out>>>,
}

impl SimNet {
    pub fn new(clock: Rc<Cell<u64>>, started: u64, out: Rc<RefCell<Vec<Out>>>) -> SimNet {
        SimNet {
            clock,
            started,
            serial: 0,
            out,
        }
    }
}

/// What a call says, in terms that no version of the service owns.
pub struct PlainCall<'a> {
    pub to: SocketAddr,
    pub method: &'a str,
    pub target: &'a str,
    pub body: &'a [u8],
    pub limit: Duration,
}

/// For processes of any version.
impl SimNet {
    /// Milliseconds since the process started.
    pub fn now_ms(&self) -> u64 {
        self.clock.get() - self.started
    }

    pub fn time_of_day_ms(&self) -> u64 {
        super::EPOCH_MS + self.clock.get()
    }

    pub fn send_response(&mut self, conn: ConnId, response: Response) {
        let sent = Out::Respond(conn, response);
        self.out.borrow_mut().push(sent);
    }

    /// Sends a call and gives it a number.
    pub fn send_call(&mut self, call: &PlainCall) -> u64 {
        self.serial += 1;
        self.out.borrow_mut().push(Out::Call(Call {
            id: CallId(self.serial),
            to: call.to,
            method: call.method.to_owned(),
            target: call.target.to_owned(),
            body: call.body.to_vec(),
            limit: call.limit.as_millis() as u64,
        }));
        self.serial
    }
}

impl Network for SimNet {
    fn now(&self) -> Time {
        Time(self.now_ms())
    }

    fn time_of_day(&self) -> u64 {
        self.time_of_day_ms()
    }

    fn respond(&mut self, conn: ConnId, response: &Response) {
        self.send_response(conn, response.clone());
    }

    fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId {
        CallId(self.send_call(&PlainCall {
            to,
            method,
            target,
            body,
            limit,
        }))
    }

    fn socket_usage(&self) -> SocketUsage {
        SocketUsage::default()
    }
}

//! The seam between a node and the simulated world.

use lichencrank::transport::{CallId, ConnId, Network, Request, Response};
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

impl Network for SimNet {
    fn now(&self) -> Time {
        Time(self.clock.get() - self.started)
    }

    fn time_of_day(&self) -> u64 {
        super::EPOCH_MS + self.clock.get()
    }

    fn respond(&mut self, conn: ConnId, response: &Response) {
        let sent = Out::Respond(conn, response.clone());
        self.out.borrow_mut().push(sent);
    }

    fn call(
        &mut self,
        to: SocketAddr,
        method: &str,
        target: &str,
        body: &[u8],
        limit: Duration,
    ) -> CallId {
        self.serial += 1;
        let id = CallId(self.serial);
        self.out.borrow_mut().push(Out::Call(Call {
            id,
            to,
            method: method.to_owned(),
            target: target.to_owned(),
            body: body.to_vec(),
            limit: limit.as_millis() as u64,
        }));
        id
    }

    fn sockets(&self) -> (usize, usize) {
        (0, 0)
    }
}

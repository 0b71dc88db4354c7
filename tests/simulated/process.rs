//! A controller process behind one interface, whatever version of the service it runs. The simulated
//! world knows the version that is tested; a crate that links an earlier one brings a launcher of its
//! own (`tests/upgrade/`).

use lichencrank::features::Features;
use lichencrank::node::Node;
use lichencrank::settings::{Settings, Tuning};
use lichencrank::transport::TransportEvent;

use super::network::SimNet;

/// Which code a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// The code of this checkout.
    Current,
    /// A version that upgrades start from.
    Earlier,
}

/// What the world needs of a controller.
pub trait Process {
    /// Takes in a request or a reply.
    fn handle_event(&mut self, event: TransportEvent);
    /// Does all that is due.
    fn run_due_work(&mut self);
    /// When it has to run again, in milliseconds of its own clock.
    fn next_wake(&self) -> u64;
}

impl Process for Node<SimNet> {
    fn handle_event(&mut self, event: TransportEvent) {
        Node::handle_event(self, event);
    }

    fn run_due_work(&mut self) {
        Node::run_due_work(self);
    }

    fn next_wake(&self) -> u64 {
        Node::next_wake(self).0
    }
}

/// All that a process starts with.
pub struct Start {
    pub version: Version,
    /// The settings file.
    pub settings: String,
    /// The features file, for versions that know it.
    pub features: String,
    pub net: SimNet,
    pub incarnation: u64,
}

/// Starts a process.
pub type Launch = fn(Start) -> Box<dyn Process>;

/// Starts processes; `first` is what they all run when the world begins.
#[derive(Clone, Copy)]
pub struct Launcher {
    pub first: Version,
    pub launch: Launch,
}

impl Launcher {
    /// Knows the version of this checkout only.
    pub fn current() -> Launcher {
        Launcher {
            first: Version::Current,
            launch: launch_current,
        }
    }
}

/// Starts a process of this checkout's version.
pub fn launch_current(start: Start) -> Box<dyn Process> {
    assert_eq!(
        start.version,
        Version::Current,
        "the launcher knows no other"
    );
    let settings = Settings::parse(&start.settings).expect("the settings of a scenario");
    let mut node = Node::new(settings, Tuning::default(), start.net, start.incarnation);
    node.switch_on(Features::parse(&start.features).expect("the features of a scenario"));
    Box::new(node)
}

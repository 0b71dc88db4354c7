//! The load balancer between users and controllers.

use super::context::Context;
use super::controllers::Controllers;
use super::ids::NodeIndex;
use super::network::{Network, RemoteEnd};

/// Chooses a controller at random among those that accept connections. `None` if there is none. Draws exactly one
/// random number in either case.
pub fn choose_controller(
    context: &mut Context,
    controllers: &Controllers,
    network: &Network,
) -> Option<NodeIndex> {
    let now = context.now();
    let accepts = |node: &NodeIndex| {
        controllers.is_running(*node, now) && network.is_connected(now, *node, RemoteEnd::User)
    };
    let accepting: Vec<NodeIndex> = controllers.indices().filter(accepts).collect();
    let choice = context.random().usize(0..accepting.len().max(1));
    accepting.get(choice).copied()
}

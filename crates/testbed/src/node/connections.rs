//! The node's process and its connections: started, killed, cut.

use super::service::Service;
use super::state::State;
use super::{Node, lock};
use crate::capture::{NodeState, Observation};
use async_io::Timer;
use async_net::TcpListener;
use corkspan_api::v1::node_server::NodeServer;
use corkspan_rpc::ConnectionLimits;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

impl Node {
    /// Starts the process: warm at the start of a day, and with a slow start otherwise. Returns the
    /// address at which it listens.
    pub async fn start_process(
        self: &Arc<Self>,
        with_slow_start: bool,
    ) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        {
            let mut state = self.state();
            *state = State {
                incarnation: state.incarnation + 1,
                is_up: true,
                ..State::default()
            };
            state.started_at = with_slow_start.then(Instant::now);
            self.cordon().changed_at = Instant::now();
        }
        let state = if with_slow_start {
            NodeState::SlowStart
        } else {
            NodeState::Serving
        };
        self.record_state(state);
        *lock(&self.listener) = Some(listener);
        self.listen();
        Ok(address)
    }

    fn listen(self: &Arc<Self>) {
        let Some(listener) = lock(&self.listener).clone() else {
            return;
        };
        let service = NodeServer::new(Service(Arc::clone(self)));
        let served = corkspan_rpc::serve(listener, service, ConnectionLimits::default());
        let server = self.context.tasks.spawn(async move {
            served.await;
        });
        *lock(&self.server) = Some(server);
    }

    /// The process dies, and with it all that runs.
    pub fn kill(&self, recorded_as: NodeState) {
        *lock(&self.listener) = None;
        let server = lock(&self.server).take();
        let mut state = self.state();
        if state.is_up {
            self.record_state(recorded_as);
        }
        for allocation in state.allocations.values().filter(|own| own.is_ready) {
            self.record_unready(&allocation.request, None);
        }
        *state = State {
            incarnation: state.incarnation,
            ..State::default()
        };
        drop(state);
        drop(server);
        self.context
            .deduplicated()
            .retain(|_, node| *node != self.config.id);
    }

    /// All connections break, and none can be opened for so long; what runs goes on.
    pub fn cut_connections(self: &Arc<Self>, time: Duration) {
        let server = lock(&self.server).take();
        self.context.capture.record(Observation::ConnectionsCut {
            node: self.config.id,
        });
        drop(server);
        let node = Arc::clone(self);
        let incarnation = self.state().incarnation;
        let listen_later = async move {
            Timer::after(time).await;
            if node.state().incarnation == incarnation {
                node.listen();
            }
        };
        self.context.tasks.spawn(listen_later).detach();
    }

    pub(super) fn record_state(&self, state: NodeState) {
        self.context.capture.record(Observation::Node {
            node: self.config.id,
            state,
        });
    }
}

//! Injects faults into hosts: stop, restart, pause and others.

use std::{net::SocketAddr, sync::Arc};

use cuminward_core::id;

use super::{
    control::{Behaviour, Fault},
    fleet::Shared,
    handler, replica,
};
use crate::server;

/// Access
impl Shared {
    fn hosts_in_fabric(&self, fabric: &str) -> Vec<id::Host> {
        let state = self.lock();
        let members = state.engines.values().filter(|it| it.entry.fabric == fabric);
        members.map(|it| it.entry.host.clone()).collect()
    }
}

/// Mutation
impl Shared {
    pub(super) async fn inject(self: &Arc<Self>, fault: &Fault) {
        match fault {
            Fault::Kill { host } => self.kill(host),
            Fault::Restart { host } => self.restart(host).await,
            Fault::KillFabric { fabric } => {
                self.hosts_in_fabric(fabric).iter().for_each(|it| self.kill(it));
            }
            Fault::RestartFabric { fabric } => {
                for host in self.hosts_in_fabric(fabric) {
                    self.restart(&host).await;
                }
            }
            Fault::Pause { host } => self.set_paused(host, true),
            Fault::Resume { host } => self.set_paused(host, false),
            Fault::Silence { host } => {
                let state = self.lock();
                let server = state.engines.get(host).and_then(|it| it.server.as_ref());
                server.iter().for_each(|it| it.gate().silence());
            }
            Fault::Slow { host, factor } => self.update(host, |it| it.slowdown = *factor),
            Fault::DelayOrders { host, delay_ms } => {
                self.update(host, |it| it.order_delay = *delay_ms);
            }
            Fault::LoseOrderAnswers { host, count } => {
                self.update(host, |it| it.lose_order_answers = *count);
            }
            Fault::Fencing { host, enforced } => self.update(host, |it| it.fencing = *enforced),
            Fault::Expect { domain, groups } => {
                self.lock().expected_groups.insert(domain.clone(), *groups);
            }
        }
    }

    fn update(&self, host: &str, change: impl FnOnce(&mut Behaviour)) {
        let mut state = self.lock();
        if let Some(engine) = state.engines.get_mut(host) {
            change(&mut engine.behaviour);
        }
        state.refresh_replica(host);
    }

    fn set_paused(&self, host: &str, paused: bool) {
        self.update(host, |it| it.paused = paused);
        let state = self.lock();
        let Some(server) = state.engines.get(host).and_then(|it| it.server.as_ref()) else {
            return;
        };
        if paused { server.gate().pause() } else { server.gate().resume() }
    }

    pub(super) fn kill(&self, host: &str) {
        let mut state = self.lock();
        state.leave_group(host);
        let Some(engine) = state.engines.get_mut(host) else { return };
        engine.server = None;
        engine.weights = None;
        engine.fence = 0;
        engine.behaviour.paused = false;
    }

    async fn restart(self: &Arc<Self>, host: &str) {
        self.kill(host);
        let address = self.lock().engines.get(host).map(|it| it.entry.address.clone());
        let Some(address) = address else { return };
        let address: SocketAddr = address.parse().expect("the server gave the address");
        let router = handler::router(self.clone(), host.to_owned());
        let is_running = || self.lock().engines.get(host).is_some_and(|it| it.is_alive());
        let restarted = server::Server::restart(address.port(), router, is_running).await;
        let Some(server) = restarted else { return };
        let mut state = self.lock();
        if self.stop.is_cancelled() {
            return;
        }
        let incarnation = state.allocate_incarnation();
        let Some(engine) = state.engines.get_mut(host) else { return };
        engine.incarnation = incarnation;
        engine.server = Some(server);
    }

    /// Stops all members of a replica and restarts them after `restart_delay`.
    pub(super) fn crash(self: &Arc<Self>, replica: &replica::Replica) {
        if replica.broken.is_cancelled() {
            return;
        }
        self.lock().stats.counters.crashes += 1;
        for host in &replica.membership.members {
            self.kill(host);
            let (shared, host) = (self.clone(), host.clone());
            tokio::spawn(async move {
                tokio::time::sleep(shared.options.restart_delay).await;
                shared.restart(&host).await;
            });
        }
    }
}

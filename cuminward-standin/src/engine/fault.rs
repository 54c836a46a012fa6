//! Death, restart and other faults of hosts.

use std::{net::SocketAddr, sync::Arc};

use cuminward_core::id;

use super::{
    control::{Fault, Traits},
    fleet::Shared,
    machine, replica,
};
use crate::server;

/// Access
impl Shared {
    fn members_of(&self, fabric: &str) -> Vec<id::Host> {
        let state = self.lock();
        let members = state.machines.values().filter(|it| it.entry.fabric == fabric);
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
                self.members_of(fabric).iter().for_each(|it| self.kill(it));
            }
            Fault::RestartFabric { fabric } => {
                for host in self.members_of(fabric) {
                    self.restart(&host).await;
                }
            }
            Fault::Pause { host } => self.pause(host, true),
            Fault::Resume { host } => self.pause(host, false),
            Fault::Silence { host } => {
                let state = self.lock();
                let server = state.machines.get(host).and_then(|it| it.server.as_ref());
                server.iter().for_each(|it| it.gate().silence());
            }
            Fault::Slow { host, factor } => self.set(host, |it| it.slowdown = *factor),
            Fault::DelayOrders { host, delay_ms } => {
                self.set(host, |it| it.order_delay = *delay_ms);
            }
            Fault::LoseOrderAnswers { host, count } => {
                self.set(host, |it| it.lose_order_answers = *count);
            }
            Fault::Fencing { host, enforced } => self.set(host, |it| it.enforcing = *enforced),
            Fault::Expect { domain, groups } => {
                self.lock().expected.insert(domain.clone(), *groups);
            }
        }
    }

    fn set(&self, host: &str, change: impl FnOnce(&mut Traits)) {
        let mut state = self.lock();
        if let Some(machine) = state.machines.get_mut(host) {
            change(&mut machine.traits);
        }
        state.refresh_replica(host);
    }

    fn pause(&self, host: &str, paused: bool) {
        self.set(host, |it| it.paused = paused);
        let state = self.lock();
        let Some(server) = state.machines.get(host).and_then(|it| it.server.as_ref()) else {
            return;
        };
        if paused { server.gate().pause() } else { server.gate().resume() }
    }

    pub(super) fn kill(&self, host: &str) {
        let mut state = self.lock();
        state.leave(host);
        let Some(machine) = state.machines.get_mut(host) else { return };
        machine.server = None;
        machine.weights = None;
        machine.fence = 0;
        machine.traits.paused = false;
    }

    async fn restart(self: &Arc<Self>, host: &str) {
        self.kill(host);
        let address = self.lock().machines.get(host).map(|it| it.entry.address.clone());
        let Some(address) = address else { return };
        let address: SocketAddr = address.parse().expect("the server gave the address");
        let router = machine::router(self.clone(), host.to_owned());
        let alive = || self.lock().machines.get(host).is_some_and(|it| it.alive());
        let restarted = server::Server::restart(address.port(), router, alive).await;
        let Some(server) = restarted else { return };
        let mut state = self.lock();
        if self.stop.is_cancelled() {
            return;
        }
        let incarnation = state.incarnation();
        let Some(machine) = state.machines.get_mut(host) else { return };
        machine.incarnation = incarnation;
        machine.server = Some(server);
    }

    /// Kills all members of a replica and restarts them after the set delay.
    pub(super) fn crash(self: &Arc<Self>, replica: &replica::Replica) {
        if replica.broken.is_cancelled() {
            return;
        }
        self.lock().book.counters.crashes += 1;
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

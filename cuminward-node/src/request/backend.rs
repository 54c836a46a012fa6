//! Implementation of the HTTP interface for callers: authentication, admission and execution of
//! requests.

use std::sync::{Arc, atomic::Ordering};

use cuminward_caller::backend::{self, Answer, Call, Generation};
use cuminward_core::{
    id,
    outcome::{Cause, Refusal},
};
use cuminward_event::kind::Kind;

use crate::{
    request::{call, generate, lease},
    state,
};

/// Serves the requests of callers.
#[derive(Clone)]
pub struct Backend {
    state: Arc<state::State>,
}

/// Life cycle
impl Backend {
    /// Creates a backend on the state of a node.
    pub fn new(state: Arc<state::State>) -> Backend {
        Backend { state }
    }
}

impl backend::Backend for Backend {
    type Tokens = generate::Tokens;

    fn authenticate(&self, key: &str) -> Option<id::Team> {
        self.state.view.load().find_team(key).cloned()
    }

    fn models(&self, team: &str) -> Vec<id::Model> {
        let view = self.state.view.load();
        let models = view.catalog.models.values().filter(|it| it.teams.contains(team));
        models.map(|it| it.model.clone()).collect()
    }

    async fn generate(&self, request: Generation) -> Result<generate::Tokens, Refusal> {
        let in_flight = self.admit(&request.context, &request.model)?;
        generate::start(Arc::clone(&self.state), request, in_flight).await
    }

    async fn call(&self, call: Call) -> Result<Answer, Refusal> {
        let catalog = Arc::clone(&self.state.view.load().catalog);
        let service = call::find_service(&catalog, &call.service, &call.context.team)?;
        let in_flight = self.admit(&call.context, &call.service)?;
        call::run(Arc::clone(&self.state), service, call, in_flight).await
    }

    fn mint(&self, team: &str) -> Result<id::Key, Refusal> {
        Ok(self.state.once.mint(team))
    }

    fn ready(&self) -> Result<(), String> {
        self.state.check_ready()
    }

    fn metrics(&self) -> String {
        crate::metrics::render(&self.state)
    }
}

impl Backend {
    /// Admits a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome "not run" if the node is shutting down, the team isn't
    /// declared, or the team has reached its limit of requests in flight at this node.
    fn admit(&self, context: &backend::Context, service: &str) -> Result<lease::InFlight, Refusal> {
        if self.state.draining.load(Ordering::Acquire) {
            return Err(Refusal::not_run(Cause::ShuttingDown, "the node is shutting down"));
        }
        let view = self.state.view.load();
        let declared = view.catalog.teams.get(&context.team);
        let in_flight_count = view.teams.get(&context.team);
        let (Some(declared), Some(in_flight_count)) = (declared, in_flight_count) else {
            return Err(Refusal::not_run(Cause::Forbidden, "the team is not declared"));
        };
        let in_flight =
            lease::InFlight::try_new(in_flight_count, declared.in_flight).ok_or_else(|| {
                let message = "the team has too many requests in flight at this node";
                Refusal::not_run(Cause::TeamLimit, message).retry_after(1)
            })?;
        self.state.retry_budget.deposit();
        let (team, service) = (context.team.clone(), service.to_owned());
        self.state.events.emit_for(&context.request, Kind::RequestAdmitted { team, service });
        Ok(in_flight)
    }
}

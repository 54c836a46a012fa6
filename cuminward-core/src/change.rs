//! Changes of the configuration, in the format in which the platform's log stores them.

use cuminward_derive::record;

use crate::{catalog, id};

/// A change that an operator requests, as stored in the log.
#[record]
pub struct Record {
    /// Id chosen by the operator's client; a change whose id was applied before is not applied
    /// again.
    pub change: id::Change,
    /// Operator who requests the change.
    pub operator: String,
    /// Latest revision of the target that the operator has seen; the change is refused if the
    /// target was changed after it. `None` skips this check.
    pub expected: Option<id::Revision>,
    /// Operation that the change performs.
    pub action: Action,
}

/// The operation that a change performs.
#[record]
#[serde(tag = "action", content = "value", rename_all = "kebab-case")]
pub enum Action {
    /// Declares a model service or replaces its declaration.
    DeclareModel(catalog::Model),
    /// Removes a model service.
    RemoveModel(id::Service),
    /// Declares a plain service or replaces its declaration.
    DeclarePlain(catalog::Plain),
    /// Removes a plain service.
    RemovePlain(id::Service),
    /// Declares a team or replaces its declaration.
    DeclareTeam(catalog::Team),
    /// Removes a team.
    RemoveTeam(id::Team),
    /// Declares a failure domain or replaces its declaration.
    DeclareDomain(catalog::Domain),
    /// Takes a failure domain out of service.
    TakeOut(id::Domain),
    /// Brings a failure domain back into service.
    BringBack(id::Domain),
    /// Declares the traits of a host.
    DeclareHost(catalog::Traits),
    /// Drains a host: the host receives no new work and leaves its group.
    Drain(id::Host),
    /// Ends the draining of a host.
    Undrain(id::Host),
}

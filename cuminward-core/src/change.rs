//! Changes of the configuration, as records of the platform's log.

use cuminward_derive::record;

use crate::{catalog, id};

/// A change that an operator asks for, as it stands in the log.
#[record]
pub struct Record {
    /// Id that the operator's client chose; a change with an id that was seen is not applied again.
    pub change: id::Change,
    /// Operator who asks.
    pub operator: String,
    /// Revision of the last change to the same target that the operator knows; `None` accepts any.
    pub expected: Option<id::Revision>,
    /// What changes.
    pub action: Action,
}

/// What a change does.
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
    /// Drains a host: it receives no new work and leaves its group.
    Drain(id::Host),
    /// Ends the draining of a host.
    Undrain(id::Host),
}

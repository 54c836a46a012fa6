//! Newest known declarations of the operators: the catalog, and the failure domains out of service.

use std::{collections::BTreeSet, sync::Arc};

use cuminward_adapter::{catalog as catalog_record, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    catalog, id,
    position::Position,
    table::{Record, Table},
};

/// Newest known declarations.
pub(crate) struct Declarations {
    events: Arc<Sink>,
    table: Table,
    /// Catalog in force.
    pub(crate) catalog: Option<Arc<catalog::Catalog>>,
    /// Failure domains that operators took out of service.
    pub(crate) evacuated: BTreeSet<id::Domain>,
}

/// Life cycle
impl Declarations {
    pub(crate) fn new(events: Arc<Sink>) -> Declarations {
        Declarations { events, table: Table::default(), catalog: None, evacuated: BTreeSet::new() }
    }
}

/// Access
impl Declarations {
    /// Returns the position after the newest declaration that was seen.
    pub(crate) fn end(&self) -> Position {
        self.table.end()
    }

    /// Returns the records at the position `from` or a later one, including deletions.
    pub(crate) fn records_since(&self, from: Position) -> Vec<Record> {
        self.table.records_since(from)
    }
}

/// Mutation
impl Declarations {
    /// Applies a record. Returns whether it is newer than the known one.
    pub(crate) fn apply(&mut self, record: &Record) -> bool {
        let known = self.table.record(&record.key);
        if !self.table.apply(record.clone()) {
            if let Some(known) = known.filter(|it| it != record) {
                self.emit_outdated(record, &known);
            }
            return false;
        }
        self.process(record.position, &record.key, record.value.as_deref());
        true
    }

    /// Replaces all declarations by the complete list of the newest records before the position `end`. Those
    /// that the list lacks since the store came back from an older copy stay in force; see
    /// [`Declarations::drop_former_eras`].
    pub(crate) fn replace(&mut self, records: Vec<Record>, end: Position) {
        for record in &records {
            self.apply(record);
        }
        for key in self.table.apply_snapshot(records, end) {
            self.process(end, &key, None);
        }
    }

    /// Removes the declarations of former eras of the store, which nobody has written again, except for the
    /// catalog. Returns whether there were any.
    pub(crate) fn drop_former_eras(&mut self) -> bool {
        let dropped = self.table.drop_former_eras(|key| key != topic::CATALOG_KEY);
        let end = self.table.end();
        for key in &dropped {
            self.process(end, key, None);
        }
        !dropped.is_empty()
    }

    fn process(&mut self, position: Position, key: &str, value: Option<&[u8]>) {
        if let Some(domain) = topic::evacuated_domain(key) {
            self.set_evacuated(domain, value.is_some());
            return;
        }
        let Some(value) = value.filter(|_| key == topic::CATALOG_KEY) else { return };
        match catalog_record::decode(value) {
            Ok(catalog) => self.set_catalog(catalog, position),
            Err(error) => {
                let (Position { era, offset }, cause) = (position, error.to_string());
                self.events.emit(Kind::CatalogInvalid { era, offset, cause });
            }
        }
    }

    fn set_evacuated(&mut self, domain: &str, is_evacuated: bool) {
        let (is_changed, state) = if is_evacuated {
            (self.evacuated.insert(domain.to_owned()), "out")
        } else {
            (self.evacuated.remove(domain), "in")
        };
        if is_changed {
            let (domain, state) = (domain.to_owned(), state.to_owned());
            self.events.emit(Kind::DomainTrafficSwitched { domain, state });
        }
    }

    fn set_catalog(&mut self, catalog: catalog::Catalog, position: Position) {
        if self.catalog.as_ref().is_none_or(|it| it.version < catalog.version) {
            let (version, routes) = (catalog.version, catalog.routes.len() as u64);
            let Position { era, offset } = position;
            self.events.emit(Kind::CatalogApplied { version, routes, era, offset });
            self.catalog = Some(Arc::new(catalog));
        }
    }

    fn emit_outdated(&self, record: &Record, known: &Record) {
        let value = if known.value == record.value { "same" } else { "other" };
        self.events.emit(Kind::DeclarationOutdated {
            key: record.key.clone(),
            era: record.position.era,
            offset: record.position.offset,
            known_era: known.position.era,
            known_offset: known.position.offset,
            value: value.to_owned(),
        });
    }
}

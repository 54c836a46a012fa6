//! Newest known declarations of the operators: the catalog, and the failure domains out of service.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
};

use cuminward_adapter::{catalog as catalog_record, topic};
use cuminward_event::{kind::Kind, sink::Sink};
use cuminward_serving::{
    catalog, id,
    position::Position,
    table::{Batch, Record, Table},
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

    /// Returns whether declarations may be lacking.
    pub(crate) fn is_withholding(&self) -> bool {
        self.table.is_withholding()
    }

    /// Returns the version of the catalog in force; 0 if there is none.
    pub(crate) fn version(&self) -> id::Version {
        self.catalog.as_ref().map_or(0, |it| it.version)
    }

    /// Returns the records at the position `from` or a later one, including deletions, and in any case the
    /// catalog if it is newer than `version`.
    pub(crate) fn records_since(&self, from: Position, version: id::Version) -> Vec<Record> {
        let mut records = self.table.records_since(from);
        records.retain(|it| it.key != topic::CATALOG_KEY);
        if self.version() > version {
            records.extend(self.table.record(topic::CATALOG_KEY));
        }
        records
    }

    /// Returns what a copy lacks that ends at the position `from` and has the catalog `version`; `None` if that
    /// isn't known at the moment.
    pub(crate) fn batch_since(&self, from: Position, version: id::Version) -> Option<Batch> {
        let batch = self.table.batch_since(from)?;
        if batch.whole_before.is_some() {
            return Some(batch);
        }
        Some(Batch { records: self.records_since(from, version), whole_before: None })
    }
}

/// Mutation
impl Declarations {
    /// Records that what is applied from now on may lack declarations after the current end.
    pub(crate) fn withhold(&mut self) {
        let end = self.table.end();
        self.table.withhold(end);
    }

    /// Records that no declaration is lacking any more.
    pub(crate) fn release(&mut self) {
        self.table.release();
    }

    /// Records that a read which began at the position `from` gave all that was lacking, if the copy still ends there.
    pub(crate) fn release_since(&mut self, from: Position) {
        self.table.release_since(from);
    }

    /// Applies a record. Returns whether it is newer than the known one: an evacuation by its position, a
    /// catalog by its version, since a store that came back from an older copy has an older catalog again.
    pub(crate) fn apply(&mut self, record: &Record) -> bool {
        let known = self.table.record(&record.key);
        let is_newer = if record.key == topic::CATALOG_KEY {
            self.apply_catalog(record, known.as_ref())
        } else {
            self.apply_by_position(record)
        };
        if let Some(known) = known.filter(|it| !is_newer && it.value != record.value) {
            self.emit_outdated(record, &known);
        }
        is_newer
    }

    fn apply_by_position(&mut self, record: &Record) -> bool {
        if !self.table.apply(record.clone()) {
            return false;
        }
        if let Some(domain) = topic::evacuated_domain(&record.key) {
            self.set_evacuated(domain, record.value.is_some());
        }
        true
    }

    fn apply_catalog(&mut self, record: &Record, known: Option<&Record>) -> bool {
        self.table.advance(record.position.next());
        let Some(value) = record.value.as_deref() else { return false };
        if known.is_some_and(|it| it.value == record.value) {
            return false;
        }
        match catalog_record::decode(value) {
            Ok(catalog) if self.is_newer(&catalog, record, known) => {
                self.table.put(record.clone());
                self.set_catalog(catalog, record.position);
                true
            }
            Ok(_) => false,
            Err(error) => {
                let (Position { era, offset }, cause) = (record.position, error.to_string());
                self.events.emit(Kind::CatalogInvalid { era, offset, cause });
                false
            }
        }
    }

    /// Returns whether a catalog replaces the known one: it has a newer version, or the same version and a
    /// newer position.
    fn is_newer(
        &self,
        catalog: &catalog::Catalog,
        record: &Record,
        known: Option<&Record>,
    ) -> bool {
        let is_later = known.is_none_or(|it| it.position < record.position);
        (catalog.version, is_later) > (self.version(), false)
    }

    /// Replaces all declarations by the complete list of the newest records before the position `end`. Those
    /// that the list lacks since the store came back from an older copy stay in force; see
    /// [`Declarations::drop_former_eras`].
    pub(crate) fn replace(&mut self, records: Vec<Record>, end: Position) {
        for record in &records {
            self.apply(record);
        }
        let listed: HashSet<String> = records.into_iter().map(|it| it.key).collect();
        for key in self.table.remove_unlisted(&listed, end) {
            self.end_evacuation(&key);
        }
    }

    /// Removes the declarations of former eras of the store, which nobody has written again, except for the
    /// catalog. Returns whether there were any.
    pub(crate) fn drop_former_eras(&mut self) -> bool {
        let dropped = self.table.drop_former_eras(|key| key != topic::CATALOG_KEY);
        for key in &dropped {
            self.end_evacuation(key);
        }
        !dropped.is_empty()
    }

    fn end_evacuation(&mut self, key: &str) {
        if let Some(domain) = topic::evacuated_domain(key) {
            self.set_evacuated(domain, false);
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
        let (version, routes) = (catalog.version, catalog.routes.len() as u64);
        let Position { era, offset } = position;
        self.events.emit(Kind::CatalogApplied { version, routes, era, offset });
        self.catalog = Some(Arc::new(catalog));
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

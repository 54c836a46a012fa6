//! Deserializes YAML documents into declarations.
//!
//! A visitor that dispatches on the first key `kind`, instead of an internally tagged enum, keeps the line
//! numbers of errors: a tagged enum would buffer the whole declaration first.

use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{
        Error as _, MapAccess, SeqAccess, Visitor,
        value::{MapAccessDeserializer, SeqAccessDeserializer},
    },
};

use super::{Declaration, Domain, Host, Model, Plain, Team};

/// One YAML document: a declaration or a list of them.
pub(super) struct Document(pub(super) Vec<Declaration>);

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        deserializer.deserialize_any(DocumentVisitor)
    }
}

impl<'de> Deserialize<'de> for Declaration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Declaration, D::Error> {
        deserializer.deserialize_map(DeclarationVisitor)
    }
}

struct DocumentVisitor;

impl<'de> Visitor<'de> for DocumentVisitor {
    type Value = Document;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a declaration or a list of declarations")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Document, A::Error> {
        DeclarationVisitor.visit_map(map).map(|it| Document(vec![it]))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Document, A::Error> {
        Vec::deserialize(SeqAccessDeserializer::new(seq)).map(Document)
    }
}

struct DeclarationVisitor;

impl<'de> Visitor<'de> for DeclarationVisitor {
    type Value = Declaration;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a declaration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Declaration, A::Error> {
        if map.next_key::<String>()?.as_deref() != Some("kind") {
            return Err(A::Error::custom("`kind` has to be the first key of a declaration"));
        }
        let kind: Kind = map.next_value()?;
        let fields = MapAccessDeserializer::new(map);
        match kind {
            Kind::Domain => Domain::deserialize(fields).map(Declaration::Domain),
            Kind::Team => Team::deserialize(fields).map(Declaration::Team),
            Kind::Host => Host::deserialize(fields).map(Declaration::Host),
            Kind::Plain => Plain::deserialize(fields).map(Declaration::Plain),
            Kind::Model => Model::deserialize(fields).map(Declaration::Model),
        }
    }
}

/// Kind of a declaration.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Domain,
    Team,
    Host,
    Plain,
    Model,
}

//! Assignment of models to fabric domains.
//!
//! A group can't span fabric domains, so a fabric domain whose hosts are divided among several
//! models is left with hosts that can't form a group after each loss. Each fabric domain therefore
//! serves one model as far as the shares of the models allow; its surplus hosts can replace any
//! lost member.

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{engine, id};

/// Number of hosts of a fabric domain that are kept as spares before its other hosts serve a second
/// model.
const SPARES_PER_FABRIC: usize = 2;

/// Weight of a host that already has a model staged, relative to a host that the model still needs.
/// Keeps most hosts on the model that they already have.
const STAGED_WEIGHT: f64 = 0.8;

/// A fabric domain.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Fabric {
    /// Name.
    pub(super) name: id::Fabric,
    /// Failure domain.
    pub(super) domain: id::Domain,
    /// Number of hosts that can be used.
    pub(super) hosts: usize,
    /// Number of hosts that have a model staged or are loading it, by model.
    pub(super) staged: BTreeMap<id::Model, usize>,
}

/// Number of groups of a model that a fabric domain should have.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Assignment<'e> {
    /// Fabric domain.
    pub(super) fabric: id::Fabric,
    /// Model.
    pub(super) model: &'e engine::Model,
    /// Number of groups.
    pub(super) groups: usize,
}

/// Assigns models to the fabric domains. A fabric domain can have several assignments; its spare
/// hosts load the model of the first one.
pub(super) fn assign_models<'e>(
    engine: &'e engine::Engine,
    fabrics: Vec<Fabric>,
) -> Vec<Assignment<'e>> {
    let total: usize = fabrics.iter().map(|it| it.hosts).sum();
    let shares: f64 = engine.models.iter().map(|it| it.share).sum();
    let mut deficits: BTreeMap<&str, f64> = BTreeMap::new();
    for model in &engine.models {
        let share = model.share / shares.max(f64::MIN_POSITIVE);
        deficits.insert(&model.name, total as f64 * share);
    }
    let mut assignments = Vec::new();
    for fabric in interleave(fabrics) {
        let mut remaining = fabric.hosts;
        let mut is_first = true;
        while let Some(model) = choose(engine, &fabric, remaining, &deficits) {
            let groups = remaining / model.size;
            let used = groups * model.size;
            let remainder = (remaining - used).saturating_sub(SPARES_PER_FABRIC);
            let consumed = remaining - remainder;
            if let Some(it) = deficits.get_mut(model.name.as_str()) {
                *it -= consumed as f64;
            }
            assignments.push(Assignment { fabric: fabric.name.clone(), model, groups });
            remaining = remainder;
            if !is_first && remainder == 0 {
                break;
            }
            is_first = false;
        }
    }
    assignments
}

/// Returns the model that needs the most hosts, among the models whose groups fit into the
/// remaining hosts of a fabric domain. Hosts that have a model staged count in its favor.
fn choose<'e>(
    engine: &'e engine::Engine,
    fabric: &Fabric,
    remaining: usize,
    deficits: &BTreeMap<&str, f64>,
) -> Option<&'e engine::Model> {
    let weight = |model: &engine::Model| {
        let staged = fabric.staged.get(&model.name).copied().unwrap_or(0);
        let deficit = deficits.get(model.name.as_str()).copied().unwrap_or(0.0);
        deficit + STAGED_WEIGHT * staged as f64
    };
    let fitting = engine.models.iter().filter(|it| it.size > 0 && it.size <= remaining);
    fitting.max_by(|a, b| {
        weight(a).total_cmp(&weight(b)).then(compare_declaration_order(a, b, engine))
    })
}

/// Compares models so that the one that was declared first is the greater one.
fn compare_declaration_order(
    a: &engine::Model,
    b: &engine::Model,
    engine: &engine::Engine,
) -> Ordering {
    let index = |model: &engine::Model| engine.models.iter().position(|it| it.name == model.name);
    index(b).cmp(&index(a))
}

/// Orders fabric domains so that the failure domains alternate; those of one failure domain are
/// ordered by name.
fn interleave(mut fabrics: Vec<Fabric>) -> Vec<Fabric> {
    fabrics.sort_by(|a, b| a.domain.cmp(&b.domain).then(a.name.cmp(&b.name)));
    let mut seen: BTreeMap<id::Domain, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, Fabric)> = Vec::new();
    for fabric in fabrics {
        let rank = seen.entry(fabric.domain.clone()).or_default();
        ranked.push((*rank, fabric));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, it)| it).collect()
}

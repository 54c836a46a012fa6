//! Which model the hosts of each fabric domain serve.
//!
//! A group can't span fabric domains, so a domain whose hosts are divided among models strands some of
//! them after each loss. Each domain therefore serves one model as far as the shares of the models
//! allow; hosts that are left over in it can replace any member that is lost.

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{engine, id};

/// Hosts of a fabric domain that stay spares before its other hosts serve a second model.
const SPARES: usize = 2;

/// Weight of a host that already has a model, against the hosts that the model still lacks.
const STICKINESS: f64 = 0.8;

/// A fabric domain.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Fabric {
    /// Name.
    pub(super) name: id::Fabric,
    /// Failure domain.
    pub(super) domain: id::Domain,
    /// Hosts that can be used.
    pub(super) hosts: usize,
    /// Hosts that have a model or are loading it, by model.
    pub(super) staged: BTreeMap<id::Model, usize>,
}

/// Groups of a model that a fabric domain should have.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Allotment<'e> {
    /// Fabric domain.
    pub(super) fabric: id::Fabric,
    /// Model.
    pub(super) model: &'e engine::Model,
    /// Groups.
    pub(super) groups: usize,
}

/// Divides the fabric domains among the models. The first allotment of a domain is that of the model
/// which its spares load.
pub(super) fn run<'e>(engine: &'e engine::Engine, fabrics: Vec<Fabric>) -> Vec<Allotment<'e>> {
    let total: usize = fabrics.iter().map(|it| it.hosts).sum();
    let shares: f64 = engine.models.iter().map(|it| it.share).sum();
    let mut lacking: BTreeMap<&str, f64> = BTreeMap::new();
    for model in &engine.models {
        let share = model.share / shares.max(f64::MIN_POSITIVE);
        lacking.insert(&model.name, total as f64 * share);
    }
    let mut allotments = Vec::new();
    for fabric in interleave(fabrics) {
        let mut left = fabric.hosts;
        let mut is_first = true;
        while let Some(model) = choose(engine, &fabric, left, &lacking) {
            let groups = left / model.size;
            let used = groups * model.size;
            let rest = (left - used).saturating_sub(SPARES);
            let taken = left - rest;
            if let Some(it) = lacking.get_mut(model.name.as_str()) {
                *it -= taken as f64;
            }
            allotments.push(Allotment { fabric: fabric.name.clone(), model, groups });
            left = rest;
            if !is_first && rest == 0 {
                break;
            }
            is_first = false;
        }
    }
    allotments
}

/// The model that lacks the most hosts among those whose groups fit into a domain.
fn choose<'e>(
    engine: &'e engine::Engine,
    fabric: &Fabric,
    left: usize,
    lacking: &BTreeMap<&str, f64>,
) -> Option<&'e engine::Model> {
    let weight = |model: &engine::Model| {
        let staged = fabric.staged.get(&model.name).copied().unwrap_or(0);
        let lacking = lacking.get(model.name.as_str()).copied().unwrap_or(0.0);
        lacking + STICKINESS * staged as f64
    };
    let fitting = engine.models.iter().filter(|it| it.size > 0 && it.size <= left);
    fitting.max_by(|a, b| weight(a).total_cmp(&weight(b)).then(first(a, b, engine)))
}

/// Of equals, the model that was declared first.
fn first(a: &engine::Model, b: &engine::Model, engine: &engine::Engine) -> Ordering {
    let index = |model: &engine::Model| engine.models.iter().position(|it| it.name == model.name);
    index(b).cmp(&index(a))
}

/// Orders fabric domains so that neighbours are in different failure domains, the largest first within
/// each.
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

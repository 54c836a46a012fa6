//! Assignment of models to fabric domains.
//!
//! A group can't span fabric domains, so a fabric domain whose hosts are divided among several
//! models is left with hosts that can't form a group after each loss. Each fabric domain therefore
//! serves one model as far as the shares of the models allow; its surplus hosts can replace any
//! lost member.

use std::{
    cmp::{Ordering, Reverse},
    collections::BTreeMap,
};

use super::demand;
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

/// Assigns models to the fabric domains by the declared shares. A fabric domain can have several assignments; its
/// spare hosts load the model of the first one.
pub(super) fn assign_models<'e>(
    engine: &'e engine::Engine,
    fabrics: Vec<Fabric>,
) -> Vec<Assignment<'e>> {
    let share = |it: &engine::Model| (it.name.clone(), engine.declared_part(it));
    let shares = engine.models.iter().map(share).collect();
    assign(engine, &shares, fabrics, |_| None)
}

/// Returns the shares of the hosts whose fabric domains serve each model now.
pub(super) fn present_shares(engine: &engine::Engine, fabrics: &[Fabric]) -> demand::Shares {
    let total: usize = fabrics.iter().map(|it| it.hosts).sum();
    let mains = present_models(engine, fabrics);
    let share = |model: &engine::Model| {
        let here =
            fabrics.iter().filter(|it| mains.get(&it.name).is_some_and(|it| it.name == model.name));
        let hosts: usize = here.map(|it| it.hosts).sum();
        (model.name.clone(), hosts as f64 / total.max(1) as f64)
    };
    engine.models.iter().map(share).collect()
}

/// Returns the model that most hosts of each fabric domain have.
fn present_models<'e>(
    engine: &'e engine::Engine,
    fabrics: &[Fabric],
) -> BTreeMap<id::Fabric, &'e engine::Model> {
    let mut mains: BTreeMap<id::Fabric, &engine::Model> = BTreeMap::new();
    for fabric in fabrics {
        let staged = |it: &&engine::Model| fabric.staged.get(&it.name).copied().unwrap_or(0);
        // Of several models with the same number, the one that was declared first.
        if let Some(model) = engine.models.iter().rev().max_by_key(staged) {
            mains.insert(fabric.name.clone(), model);
        }
    }
    mains
}

/// Assigns models to the fabric domains by `shares`, so that as few fabric domains as possible get another model than
/// the one that most of their hosts have.
pub(super) fn reassign_models<'e>(
    engine: &'e engine::Engine,
    shares: &demand::Shares,
    fabrics: Vec<Fabric>,
) -> Vec<Assignment<'e>> {
    let total: usize = fabrics.iter().map(|it| it.hosts).sum();
    let mut mains = present_models(engine, &fabrics);
    for _ in 0..fabrics.len() {
        let excess = |model: &engine::Model| {
            let here = fabrics.iter().filter(|it| mains[&it.name].name == model.name);
            let target = shares.get(&model.name).copied().unwrap_or_default() * total as f64;
            here.map(|it| it.hosts as f64).sum::<f64>() - target
        };
        let by_excess = |a: &&engine::Model, b: &&engine::Model| excess(a).total_cmp(&excess(b));
        let (Some(to), Some(from)) =
            (engine.models.iter().min_by(by_excess), engine.models.iter().max_by(by_excess))
        else {
            break;
        };
        let gap = (-excess(to)).min(excess(from));
        // The move has to bring both models nearer to their shares.
        let is_useful = |it: &&Fabric| {
            mains[&it.name].name == from.name
                && it.hosts >= to.size
                && (it.hosts as f64) < 2.0 * gap
        };
        let in_domain = |domain: &str| {
            let here = fabrics.iter().filter(|it| it.domain == domain);
            here.filter(|it| mains[&it.name].name == from.name).count()
        };
        let useful = fabrics.iter().filter(is_useful);
        let moved = useful.max_by_key(|it| (in_domain(&it.domain), Reverse(it.name.clone())));
        let Some(moved) = moved else { break };
        mains.insert(moved.name.clone(), to);
    }
    assign(engine, shares, fabrics, |fabric| mains.get(&fabric.name).copied())
}

/// Assigns models to the fabric domains. The first one of a fabric domain is that which `first` returns, if any.
fn assign<'e>(
    engine: &'e engine::Engine,
    shares: &demand::Shares,
    fabrics: Vec<Fabric>,
    first: impl Fn(&Fabric) -> Option<&'e engine::Model>,
) -> Vec<Assignment<'e>> {
    let total: usize = fabrics.iter().map(|it| it.hosts).sum();
    let mut deficits: BTreeMap<&str, f64> = BTreeMap::new();
    for model in &engine.models {
        let share = shares.get(&model.name).copied().unwrap_or_default();
        deficits.insert(&model.name, total as f64 * share);
    }
    let mut assignments = Vec::new();
    for fabric in interleave(fabrics) {
        let mut remaining = fabric.hosts;
        let mut is_first = true;
        let main = first(&fabric).filter(|it| it.size > 0 && it.size <= remaining);
        let choose = |is_first: bool, remaining: usize, deficits: &BTreeMap<&str, f64>| {
            main.filter(|_| is_first).or_else(|| choose(engine, &fabric, remaining, deficits))
        };
        while let Some(model) = choose(is_first, remaining, &deficits) {
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

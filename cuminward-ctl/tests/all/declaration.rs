//! Declarations in files.

use cuminward_core::change::Action;
use cuminward_ctl::declaration;
use googletest::prelude::*;

const WHOLE: &str = "
- kind: model
  name: patterns
  model: barrilete-7b
  versions: [v2, v1]
  hosts_per_replica: 4
  replicas: {mercado: 2, bodega: 1}
  teams: [committees]
  slots: 8
  cold_slots: 2
  warm_up_ms: 30000
- kind: team
  name: committees
  weight: 3
  in_flight: 40
---
kind: domain
name: mercado
region: sumpango
---
kind: host
name: h1
fencing: enforced
";

#[gtest]
fn lists_and_documents_mix_and_references_come_first() -> Result<()> {
    let actions: Vec<Action> = declaration::parse("f.yaml", WHOLE)
        .or_fail()?
        .into_iter()
        .map(declaration::Declaration::into_action)
        .collect();
    expect_that!(
        actions,
        elements_are![
            matches_pattern!(Action::DeclareDomain(_)),
            matches_pattern!(Action::DeclareTeam(_)),
            matches_pattern!(Action::DeclareHost(_)),
            matches_pattern!(Action::DeclareModel(_)),
        ]
    );
    Ok(())
}

#[gtest]
fn faults_are_told_with_their_cause() {
    struct Case {
        text: &'static str,
        told: &'static str,
    }
    let cases = [
        Case { text: "kind: team\nname: a\nweight: many\nin_flight: 1", told: ":3:" },
        Case { text: "region: r\nkind: domain\nname: a", told: "first" },
        Case { text: "kind: zone\nname: a", told: "zone" },
        Case { text: "name: a\nregion: r", told: "kind" },
        Case { text: "kind: domain\nname: a", told: "region" },
        Case { text: "kind: domain\nname: a\nregion: r\ncolour: red", told: "colour" },
        Case { text: "kind: team\nname: a\nweight: many\nin_flight: 1", told: "many" },
        Case { text: "kind: host\nname: a\nfencing: maybe", told: "maybe" },
        Case { text: "kind: domain\nname: [a\nregion: r", told: "" },
        Case { text: "5", told: "declaration" },
    ];
    for Case { text, told } in cases {
        let fault = declaration::parse("f.yaml", text).map_err(|it| format!("{it:?}"));
        expect_that!(fault, err(contains_substring(told)), "{text}");
    }
}

//! Parsing of declarations in YAML files.

use cuminward_core::change::Action;
use cuminward_ctl::declaration;
use googletest::prelude::*;

const DECLARATIONS: &str = "
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
fn lists_and_documents_mix_and_are_sorted_by_dependency() -> Result<()> {
    let actions: Vec<Action> = declaration::parse("f.yaml", DECLARATIONS)
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
fn errors_name_their_cause() {
    struct Case {
        text: &'static str,
        message_part: &'static str,
    }
    let cases = [
        Case { text: "kind: team\nname: a\nweight: many\nin_flight: 1", message_part: ":3:" },
        Case { text: "region: r\nkind: domain\nname: a", message_part: "first" },
        Case { text: "kind: zone\nname: a", message_part: "zone" },
        Case { text: "name: a\nregion: r", message_part: "kind" },
        Case { text: "kind: domain\nname: a", message_part: "region" },
        Case { text: "kind: domain\nname: a\nregion: r\ncolour: red", message_part: "colour" },
        Case { text: "kind: team\nname: a\nweight: many\nin_flight: 1", message_part: "many" },
        Case { text: "kind: host\nname: a\nfencing: maybe", message_part: "maybe" },
        Case { text: "kind: domain\nname: [a\nregion: r", message_part: "" },
        Case { text: "5", message_part: "declaration" },
    ];
    for Case { text, message_part } in cases {
        let error = declaration::parse("f.yaml", text).map_err(|it| format!("{it:?}"));
        expect_that!(error, err(contains_substring(message_part)), "{text}");
    }
}

//! Tokens, roles and lists of operators.

use cuminward_operator::auth::{self, Error, Operator, Operators, Role};
use googletest::prelude::*;
use tonic::{Code, metadata::MetadataMap};

fn operator(name: &str, token: &str, role: Role) -> Operator {
    Operator { name: name.to_owned(), hash: auth::hash(token), role }
}

#[gtest]
fn calls_need_a_known_token_and_role() -> Result<()> {
    struct Case {
        header: Option<&'static str>,
        needed: Role,
        expected: std::result::Result<&'static str, Code>,
    }
    let cases = [
        Case { header: None, needed: Role::Read, expected: Err(Code::Unauthenticated) },
        Case { header: Some("Bearer "), needed: Role::Read, expected: Err(Code::Unauthenticated) },
        Case { header: Some("Basic w"), needed: Role::Read, expected: Err(Code::Unauthenticated) },
        Case { header: Some("Bearer x"), needed: Role::Read, expected: Err(Code::Unauthenticated) },
        Case { header: Some("Bearer r"), needed: Role::Read, expected: Ok("reader") },
        Case {
            header: Some("Bearer r"),
            needed: Role::Write,
            expected: Err(Code::PermissionDenied),
        },
        Case { header: Some("Bearer w"), needed: Role::Read, expected: Ok("writer") },
        Case { header: Some("Bearer w"), needed: Role::Write, expected: Ok("writer") },
    ];
    let list = [operator("reader", "r", Role::Read), operator("writer", "w", Role::Write)];
    let operators = Operators::new(&list)?;
    for case in cases {
        let mut metadata = MetadataMap::new();
        if let Some(header) = case.header {
            metadata.insert("authorization", header.parse()?);
        }
        let result = operators.authenticate(&metadata, case.needed).map_err(|it| it.code());
        expect_that!(result, eq(&case.expected.map(str::to_owned)), "{:?}", case.header);
    }
    Ok(())
}

#[gtest]
fn faulty_lists_are_refused() {
    let good = operator("a", "1", Role::Read);
    let bad = Operator { hash: "12".to_owned(), ..good.clone() };
    let twice = operator("a", "2", Role::Read);
    let shared = operator("b", "1", Role::Read);
    let refused = |list: &[Operator]| Operators::new(list).err();
    expect_that!(refused(&[bad]), some(eq(&Error::InvalidHash("a".to_owned()))));
    expect_that!(refused(&[good.clone(), twice]), some(eq(&Error::DuplicateName("a".to_owned()))));
    expect_that!(refused(&[good, shared]), some(eq(&Error::DuplicateToken("b".to_owned()))));
}

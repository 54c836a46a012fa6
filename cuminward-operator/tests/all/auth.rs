//! Tests of tokens, roles and lists of operators.

use cuminward_operator::auth::{self, Error, Operator, Operators, Role};
use googletest::prelude::*;
use tonic::{Code, metadata::MetadataMap};

fn operator(name: &str, token: &str, role: Role) -> Operator {
    Operator { name: name.to_owned(), hash: auth::hash(token), role }
}

#[gtest]
fn calls_need_a_known_token_and_a_sufficient_role() -> Result<()> {
    struct Case {
        header: Option<&'static str>,
        required: Role,
        expected: std::result::Result<&'static str, Code>,
    }
    let cases = [
        Case { header: None, required: Role::Read, expected: Err(Code::Unauthenticated) },
        Case {
            header: Some("Bearer "),
            required: Role::Read,
            expected: Err(Code::Unauthenticated),
        },
        Case {
            header: Some("Basic w"),
            required: Role::Read,
            expected: Err(Code::Unauthenticated),
        },
        Case {
            header: Some("Bearer x"),
            required: Role::Read,
            expected: Err(Code::Unauthenticated),
        },
        Case { header: Some("Bearer r"), required: Role::Read, expected: Ok("reader") },
        Case {
            header: Some("Bearer r"),
            required: Role::Write,
            expected: Err(Code::PermissionDenied),
        },
        Case { header: Some("Bearer w"), required: Role::Read, expected: Ok("writer") },
        Case { header: Some("Bearer w"), required: Role::Write, expected: Ok("writer") },
    ];
    let list = [operator("reader", "r", Role::Read), operator("writer", "w", Role::Write)];
    let operators = Operators::new(&list)?;
    for case in cases {
        let mut metadata = MetadataMap::new();
        if let Some(header) = case.header {
            metadata.insert("authorization", header.parse()?);
        }
        let result = operators.authenticate(&metadata, case.required).map_err(|it| it.code());
        expect_that!(result, eq(&case.expected.map(str::to_owned)), "{:?}", case.header);
    }
    Ok(())
}

#[gtest]
fn invalid_operator_lists_are_refused() {
    let valid = operator("a", "1", Role::Read);
    let invalid = Operator { hash: "12".to_owned(), ..valid.clone() };
    let duplicate_name = operator("a", "2", Role::Read);
    let duplicate_token = operator("b", "1", Role::Read);
    let error_of = |list: &[Operator]| Operators::new(list).err();
    expect_that!(error_of(&[invalid]), some(eq(&Error::InvalidHash("a".to_owned()))));
    expect_that!(
        error_of(&[valid.clone(), duplicate_name]),
        some(eq(&Error::DuplicateName("a".to_owned())))
    );
    expect_that!(
        error_of(&[valid, duplicate_token]),
        some(eq(&Error::DuplicateToken("b".to_owned())))
    );
}

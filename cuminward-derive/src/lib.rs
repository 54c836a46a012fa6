//! Attribute macros for the derives that cuminward's data types share.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use proc_macro::TokenStream;

/// Derives the traits of a message or stored record: `Debug`, `Clone`, `PartialEq`, `Serialize` and
/// `Deserialize`.
///
/// If fields use `serde_with` adapters, put `#[serde_with::serde_as]` above this attribute. The
/// crate that uses the attribute must depend on `serde` with its `derive` feature.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend("#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]", item)
}

/// Derives the traits of a small copyable value: those of [`macro@record`], and `Copy`, `Eq`,
/// `PartialOrd`, `Ord` and `Hash`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
         ::serde::Serialize, ::serde::Deserialize)]",
        item,
    )
}

/// Prepends an attribute to an item.
fn prepend(attribute: &str, item: TokenStream) -> TokenStream {
    let mut stream: TokenStream =
        attribute.parse().expect("the attribute is a constant with valid syntax");
    stream.extend(item);
    stream
}

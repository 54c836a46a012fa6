//! Derives shared by the data types of cuminward.

#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

use proc_macro::TokenStream;

/// Derives what a message or record needs: `Debug`, `Clone`, `PartialEq`, `Serialize` and
/// `Deserialize`.
///
/// Put `#[serde_with::serde_as]` above this attribute where fields use its adapters. The crate that
/// uses the attribute depends on `serde` with its `derive` feature.
#[proc_macro_attribute]
pub fn record(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend("#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]", item)
}

/// Derives what a small plain value needs: all of [`macro@record`], and `Copy`, `Eq`, `PartialOrd`,
/// `Ord` and `Hash`.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    prepend(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
         ::serde::Serialize, ::serde::Deserialize)]",
        item,
    )
}

/// Puts an attribute in front of an item.
fn prepend(attribute: &str, item: TokenStream) -> TokenStream {
    let mut stream: TokenStream =
        attribute.parse().expect("the attribute is a constant that parses");
    stream.extend(item);
    stream
}

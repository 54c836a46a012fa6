//! Features of the exchange between nodes. A node names those of its build, so that others use a call or a field only
//! where it is known.

/// Id of a feature; never given to another one.
pub(crate) type Id = u16;

/// The node answers `changes_since`.
pub(crate) const CHANGES_SINCE: Id = 1;

/// The node lends retries.
pub(crate) const LEND_RETRY: Id = 2;

/// The node answers `packed_changes_since`.
pub(crate) const PACKED_CHANGES: Id = 3;

/// Features of this build.
pub(crate) const OWN: [Id; 3] = [CHANGES_SINCE, LEND_RETRY, PACKED_CHANGES];

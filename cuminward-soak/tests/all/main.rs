//! Tests of the soak's own judgement.

mod judge;

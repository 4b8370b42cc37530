//! Loads above the capacity of a target: what callers get with each setting of `limits.shed`.

mod entry;
mod fairness;
mod load;
mod overload;
mod plan;
mod recent;

//! When a request is sent a second time.

mod hedge_rule;
mod replay;
mod retry_budget;

pub use self::{hedge_rule::HedgeRule, replay::Replay, retry_budget::RetryBudget};

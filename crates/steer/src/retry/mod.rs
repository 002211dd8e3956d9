//! Rules for retries and hedged requests.

mod hedge_rule;
mod replay;
mod retry_budget;

pub use self::{hedge_rule::HedgeRule, replay::Replay, retry_budget::RetryBudget};

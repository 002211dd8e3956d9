//! Rules for retries and hedged requests.

mod buffered_request;
mod hedge_rule;
mod retry_budget;

pub use self::{
    buffered_request::BufferedRequest, hedge_rule::HedgeRule, retry_budget::RetryBudget,
};

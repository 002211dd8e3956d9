//! The HTTP interface for operators: status, explanations and an HTML status page.

mod explain_view;
mod operator_client;
mod operator_handler;
mod status_view;

pub use self::{
    explain_view::{ExplainView, ExplainedClass, ExplainedShift, ExplainedVm, ExplainedZone},
    operator_client::{OperatorClient, OperatorError},
    operator_handler::handle_operator,
    status_view::{
        ControlView, KnowledgeView, LiveShift, ProblemsView, RoomView, ShareView, ShiftView,
        StatusView, VmView,
    },
};

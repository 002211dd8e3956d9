//! Ports: traits over typed messages through which decisions and flows reach external systems.

mod body;
mod bounded_body;
mod buffer_budget;
mod buffered_response;
mod clock;
mod meter;
mod object_source;
mod peers;
mod platform;
mod platform_breaker;
mod platform_error;
mod registry;
mod send_error;
mod targets;
mod tracer;

pub use self::{
    body::{Body, BodyError, empty_body, full_body, hold_until_end},
    bounded_body::{BodyFault, BodyLimits, bound_body},
    buffer_budget::{BufferBudget, BufferPermit},
    buffered_response::{ResponseDeadline, SmallBodyError, buffer_small_body, prepend_frame},
    clock::{Clock, SystemClock},
    meter::{Meter, NoMeter},
    object_source::{
        KindUpdate, LargeObject, OBJECT_RESPONSE_TIMEOUT, ObjectBatch, ObjectPage, ObjectSource,
        PageQuery, PartQuery, RawObject, UpdatePeers, UpdateQuery, UpdateReply,
    },
    peers::{
        Cursor, Exchange, Heartbeat, PeerError, PeerMessage, PeerReply, Peers, PoolRoom,
        RoomUpdate, SettingsBatch, SettingsDocument, SettingsQuery, VmUpdate,
    },
    platform::{Expected, Platform, PlatformObject, PlatformVm, VmRole, WatchBatch},
    platform_breaker::PlatformBreaker,
    platform_error::PlatformError,
    registry::{Change, Changes, HelloPeers, Listing, Registry, RegistryError, VmRegistry},
    send_error::SendError,
    targets::{LoadError, LoadReport, Targets},
    tracer::{NoTracer, Span, TraceContext, Tracer},
};

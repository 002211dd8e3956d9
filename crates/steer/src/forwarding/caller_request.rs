//! The parts of a caller's request that determine how it is routed.

use std::{sync::Arc, time::Duration};

/// A caller's request as parsed by the front end.
///
/// ```
/// let request = steer::CallerRequest::new("briefs.example", "/briefs/7").id("9c41");
/// assert_eq!(&*request.id, "9c41");
/// ```
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Time for which the caller waits, if the request states it.
    pub deadline: Option<Duration>,
    /// Host name without its port.
    pub host: Arc<str>,
    /// Id of the request.
    pub id: Arc<str>,
    /// The object that the request addresses.
    pub object: Option<Arc<[u8]>>,
    /// Path without its query.
    pub path: Arc<str>,
}

impl CallerRequest {
    /// Creates a request without an id, object or deadline.
    pub fn new(host: &str, path: &str) -> Self {
        Self { deadline: None, host: host.into(), id: "".into(), object: None, path: path.into() }
    }

    /// Sets the time for which the caller waits.
    pub fn deadline(mut self, deadline: Option<Duration>) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the id of the request.
    pub fn id(mut self, id: &str) -> Self {
        self.id = id.into();
        self
    }

    /// Sets the object that the request addresses.
    pub fn object(mut self, object: Option<&[u8]>) -> Self {
        self.object = object.map(Into::into);
        self
    }
}

//! What the head of a caller's request says about how to serve it.

use std::{sync::Arc, time::Duration};

/// A caller's request as the front end has read it.
///
/// ```
/// let request = steer::CallerRequest::new("briefs.example", "/briefs/7").id("9c41");
/// assert_eq!(&*request.id, "9c41");
/// ```
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Time that the caller waits, where it says so.
    pub deadline: Option<Duration>,
    /// Host name without its port.
    pub host: Arc<str>,
    /// The request's id.
    pub id: Arc<str>,
    /// The object that the request is about.
    pub object: Option<Arc<[u8]>>,
    /// Path without its query.
    pub path: Arc<str>,
}

impl CallerRequest {
    /// Makes a request without id, object and deadline.
    pub fn new(host: &str, path: &str) -> Self {
        Self { deadline: None, host: host.into(), id: "".into(), object: None, path: path.into() }
    }

    /// Sets the time that the caller waits.
    pub fn deadline(mut self, deadline: Option<Duration>) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the id.
    pub fn id(mut self, id: &str) -> Self {
        self.id = id.into();
        self
    }

    /// Sets the object.
    pub fn object(mut self, object: Option<&[u8]>) -> Self {
        self.object = object.map(Into::into);
        self
    }
}

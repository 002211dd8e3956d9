//! What clients, backends and the operator have seen, and the file in which it is kept.

use crate::target::Arrival;
use std::{
    fs, io,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Result of a request, as its client sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    Answer {
        status: u16,
        stamped: bool,
        text: String,
    },
    /// The connection ended without an answer.
    Closed,
    /// Nothing came until the client left.
    NoAnswer,
    /// No connection.
    Unreached,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Instant,
    pub ended: Instant,
    pub id: String,
    pub outcome: Outcome,
    pub path: String,
    pub router: usize,
}

pub struct Record {
    arrivals: Mutex<Vec<Arrival>>,
    notes: Mutex<Vec<(Instant, String)>>,
    requests: Mutex<Vec<Request>>,
    pub start: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            arrivals: Mutex::default(),
            notes: Mutex::default(),
            requests: Mutex::default(),
            start: Instant::now(),
        }
    }

    /// Notes an arrival and returns its index.
    pub fn arrive(&self, arrival: Arrival) -> usize {
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push(arrival);
        arrivals.len() - 1
    }

    pub fn change(&self, index: usize, change: impl FnOnce(&mut Arrival)) {
        change(&mut self.arrivals.lock().unwrap()[index]);
    }

    pub fn note(&self, text: impl Into<String>) {
        self.notes.lock().unwrap().push((Instant::now(), text.into()));
    }

    pub fn request(&self, request: Request) {
        self.requests.lock().unwrap().push(request);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }

    /// Writes all that was seen, in order of time.
    pub fn write(&self, file: &Path) -> io::Result<()> {
        let seconds = |at: Instant| at.saturating_duration_since(self.start).as_secs_f64();
        let mut lines: Vec<(Duration, String)> = Vec::new();
        let mut add = |at: Instant, text: String| {
            let line = format!("{:8.3} s  {text}", seconds(at));
            lines.push((at.saturating_duration_since(self.start), line));
        };
        for (at, text) in self.notes.lock().unwrap().iter() {
            add(*at, text.clone());
        }
        for request in self.requests() {
            let (id, path) = (&request.id, &request.path);
            add(request.at, format!("client: {id} {path} sent to router {}", request.router));
            add(request.ended, format!("client: {id} ends: {:?}", request.outcome));
        }
        for arrival in self.arrivals() {
            let (id, target) = (&arrival.id, format!("{} of {}", arrival.target, arrival.service));
            add(arrival.at, format!("backend {target}: {id} {} arrives", arrival.path));
            if let Some(at) = arrival.begun {
                let crash = if arrival.crashed { ", which ends it" } else { "" };
                add(at, format!("backend {target}: {id} begins to run{crash}"));
            }
            if let Some(at) = arrival.ended {
                add(at, format!("backend {target}: {id} no longer runs"));
            }
        }
        lines.sort_by_key(|(at, _)| *at);
        let text: Vec<String> = lines.into_iter().map(|(_, line)| line + "\n").collect();
        fs::write(file, text.concat())
    }
}

//! Changes of the limits that targets ask for, as VMs tell them to each other.

use crate::TargetName;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// A limit of a target that began, changed or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitNews {
    /// Time since the response that showed it.
    pub age: Duration,
    /// Start time of the target's incarnation, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Requests a second for the fleet; `None` if the limit ended.
    pub rate: Option<f64>,
    /// Name of the target.
    pub target: TargetName,
}

/// The latest change of each limit, as learned from responses and from other VMs.
///
/// ```
/// use steer::{LimitNews, LimitNewsLog};
/// use tokio::time::Instant;
/// let news = LimitNews { age: Default::default(), born: 1, rate: Some(4.0), target: "t-1".into() };
/// let (mut log, now) = (LimitNewsLog::default(), Instant::now());
/// assert!(log.record(&news, now));
/// assert!(!log.record(&news, now));
/// assert_eq!(log.recent(now), [news]);
/// assert!(log.recent(now + LimitNewsLog::LIFETIME).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct LimitNewsLog {
    /// Time and rate of the latest change, by target and incarnation.
    changes: BTreeMap<(TargetName, u64), (Instant, Option<f64>)>,
}

impl LimitNewsLog {
    /// Time for which a change is told: the intervals of hello messages between and inside regions,
    /// and a margin for a message that is lost.
    pub const LIFETIME: Duration = Duration::from_secs(5);
    /// Maximum number of changes in a message.
    pub const MAX_CHANGES: usize = 128;
    /// Relative change of a rate that is told.
    const MIN_CHANGE: f64 = 0.1;

    /// Records a change unless a later one of the target is known, and returns whether it is news.
    pub fn record(&mut self, news: &LimitNews, now: Instant) -> bool {
        let at = now.checked_sub(news.age).unwrap_or(now);
        self.changes.retain(|_, (at, _)| now.duration_since(*at) < Self::LIFETIME);
        let key = (news.target.clone(), news.born);
        if self.changes.get(&key).is_some_and(|(known, _)| *known >= at) {
            return false;
        }
        self.changes.insert(key, (at, news.rate)).is_none_or(|(_, rate)| rate != news.rate)
    }

    /// Returns the changes that are told to other VMs, latest first.
    pub fn recent(&self, now: Instant) -> Vec<LimitNews> {
        let changes = self.changes.iter().map(|((target, born), (at, rate))| LimitNews {
            age: now.duration_since(*at),
            born: *born,
            rate: *rate,
            target: target.clone(),
        });
        let mut recent: Vec<_> = changes.filter(|news| news.age < Self::LIFETIME).collect();
        recent.sort_by_key(|news| news.age);
        recent.truncate(Self::MAX_CHANGES);
        recent
    }

    /// Returns whether a rate differs enough from another one to be told.
    pub fn is_change(before: Option<f64>, after: Option<f64>) -> bool {
        match (before, after) {
            (Some(before), Some(after)) => (after - before).abs() > before * Self::MIN_CHANGE,
            (before, after) => before != after,
        }
    }
}

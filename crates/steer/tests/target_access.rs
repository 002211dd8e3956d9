//! Tests that no series of events lets a request start at a target past its bound, and how a target
//! returns from a pause.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use quickcheck::{Arbitrary, Gen};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    sync::Arc,
    time::Duration,
};
use steer::{
    PauseRequest, PlacementError, PlacementGuard, PlacementLimits, PlacementQuery, RequestedPause,
    RouteTable, ServiceRules, TargetHealth, TargetOutcome, TargetRecord, TargetTable,
};
use tokio::time::{Instant, advance};

/// Number of series that the property test tries.
const SERIES: u64 = 400;
/// Targets of the service.
const TARGETS: u8 = 3;

fn target_table_of(vm: &str) -> Arc<TargetTable> {
    let zones = BTreeMap::from([("lis-a".into(), "lisboa".into())]);
    let rules = PlacementLimits { cold_burst: 40.0, cold_factor: 1.0, max_shift: 1.0 };
    let here = ("lis-a".into(), "lisboa".into());
    let targets = TargetTable::new(vm.into(), here, zones, rules);
    let rules = ServiceRules { cold_rate: 8.0, cold_time: Duration::ZERO };
    targets.set_rules(&RouteTable::new(1).service("briefs".into(), rules));
    targets.set_vms([vm.into()].into());
    Arc::new(targets)
}

fn record(name: u8, born: u64, sequence: u64) -> TargetRecord {
    let address = "10.0.0.1:80".parse().unwrap();
    let record = TargetRecord::new(format!("t-{name}"), "briefs", address).slots(8).zone("lis-a");
    record.born(born).sequence(sequence)
}

/// What happens to a VM and its targets.
#[derive(Clone, Copy, Debug)]
enum Event {
    Advance(Duration),
    Answer { failed: bool },
    Configure,
    Evacuate(bool),
    Leave,
    Lose,
    Pause(Option<Duration>),
    Place,
    Register { born: u64, leaving: bool, name: u8, sequence: u64 },
    Remove(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = u8::arbitrary(g) % TARGETS;
        let time = Duration::from_millis(u64::from(u16::arbitrary(g)) % 4_000);
        match u8::arbitrary(g) % 16 {
            0..=1 => Self::Advance(time),
            2 => Self::Answer { failed: bool::arbitrary(g) },
            3 => Self::Configure,
            4 => Self::Evacuate(bool::arbitrary(g)),
            5 => Self::Leave,
            6 => Self::Lose,
            7..=8 => Self::Pause(bool::arbitrary(g).then_some(time)),
            9..=12 => Self::Place,
            13..=14 => Self::Register {
                born: u64::from(u8::arbitrary(g) % 3),
                leaving: u8::arbitrary(g).is_multiple_of(8),
                name,
                sequence: u64::from(u8::arbitrary(g) % 4),
            },
            _ => Self::Remove(name),
        }
    }
}

/// The bounds of each incarnation, from the targets' answers alone.
#[derive(Debug, Default)]
struct NaiveBounds {
    left: BTreeSet<(String, u64)>,
    paused: BTreeMap<(String, u64), Instant>,
}

impl NaiveBounds {
    /// Checks that a request may start at an incarnation.
    fn check(&self, key: &(String, u64), step: &str) {
        assert!(!self.left.contains(key), "{key:?} leaves: {step}");
        let until = self.paused.get(key);
        assert!(until.is_none_or(|until| *until <= Instant::now()), "{key:?} pauses: {step}");
    }
}

fn incarnation(guard: &PlacementGuard) -> (String, u64) {
    (guard.target().name.to_string(), guard.target().born)
}

/// Plays the events and returns the table after them.
async fn play(events: &[Event]) -> Arc<TargetTable> {
    let targets = target_table_of("entry-0");
    let mut bounds = NaiveBounds::default();
    let mut running: Vec<PlacementGuard> = Vec::new();
    for (i, event) in events.iter().enumerate() {
        let now = Instant::now();
        match *event {
            Event::Advance(time) => advance(time).await,
            Event::Answer { failed } => {
                if let Some(guard) = running.pop() {
                    guard.record_response(None, failed);
                    if !failed {
                        guard.record_work();
                    }
                }
            }
            Event::Configure => targets.set_rules(&RouteTable::new(i as u64 + 2).service(
                "briefs".into(),
                ServiceRules { cold_rate: 8.0, cold_time: Duration::ZERO },
            )),
            Event::Evacuate(on) => {
                targets.set_evacuated(on.then(|| "lis-a".into()).into_iter().collect());
            }
            Event::Leave => {
                if let Some(guard) = running.first() {
                    guard.record_leaving(TargetOutcome::Ran);
                    bounds.left.insert(incarnation(guard));
                }
            }
            Event::Lose => {
                if let Some(guard) = running.pop() {
                    guard.record_lost();
                }
            }
            Event::Pause(time) => {
                let Some(guard) = running.first() else { continue };
                guard.record_response(None, true);
                guard.record_pause(time.map_or(PauseRequest::Unclear, PauseRequest::For));
                let until = bounds.paused.entry(incarnation(guard)).or_insert(now);
                *until = (*until).max(now + time.unwrap_or_default());
            }
            Event::Place => {
                let Ok(guard) = targets.place_request(&PlacementQuery::new("briefs")) else {
                    continue;
                };
                bounds.check(&incarnation(&guard), &format!("placed at step {i} of {events:?}"));
                running.push(guard);
            }
            Event::Register { born, leaving, name, sequence } => {
                targets.apply(record(name, born, sequence).leaving(leaving));
            }
            Event::Remove(name) => targets.remove(&format!("t-{name}").as_str().into()),
        }
        // Each request could still be waiting for a connection.
        for guard in running.iter().filter(|guard| guard.send_check().confirm().is_ok()) {
            bounds.check(&incarnation(guard), &format!("confirmed at step {i} of {events:?}"));
        }
    }
    targets
}

fn series(seed: u64) -> Vec<Event> {
    let mut events: Vec<Event> = Vec::arbitrary(&mut Gen::from_size_and_seed(120, seed));
    events.insert(0, Event::Register { born: 0, leaving: false, name: 0, sequence: 0 });
    events
}

#[tokio::test(start_paused = true)]
async fn no_request_starts_at_a_target_past_its_bound() {
    for seed in 0..SERIES {
        play(&series(seed)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_refusal_names_the_time_of_the_first_return() {
    let query = PlacementQuery::new("briefs");
    let mut refused = 0;
    for seed in 0..SERIES {
        let targets = play(&series(seed)).await;
        let mut times = Vec::<u16>::arbitrary(&mut Gen::from_size_and_seed(50, seed)).into_iter();
        let error = loop {
            match targets.place_request(&query) {
                Ok(guard) => {
                    let time = Duration::from_millis(u64::from(times.next().unwrap_or(7)));
                    guard.record_pause(PauseRequest::For(time));
                    guard.record_lost();
                }
                Err(error) => break error,
            }
        };
        let (PlacementError::Paused { wait, .. } | PlacementError::BackOff { wait, .. }) = error
        else {
            continue;
        };
        refused += 1;
        assert!(!wait.is_zero(), "seed {seed}");
        advance(wait - Duration::from_nanos(1)).await;
        assert!(targets.place_request(&query).is_err(), "seed {seed}: returned before {wait:?}");
        advance(Duration::from_nanos(1)).await;
        let result = targets.place_request(&query);
        let returned = matches!(result, Ok(_) | Err(PlacementError::Full(_)));
        assert!(returned, "seed {seed}: {result:?} after {wait:?}");
    }
    assert!(refused > SERIES / 4, "{refused} refusals");
}

/// Starts a pause of the only target, and returns its end.
fn pause(targets: &Arc<TargetTable>, time: Duration) -> Instant {
    let guard = targets.place_request(&PlacementQuery::new("briefs")).unwrap();
    Instant::now() + guard.record_pause(PauseRequest::For(time)).unwrap()
}

#[tokio::test(start_paused = true)]
async fn requests_after_a_pause_ramp_with_what_the_target_runs() {
    let targets = target_table_of("entry-0");
    targets.apply(record(1, 0, 0));
    let query = PlacementQuery::new("briefs");
    let until = pause(&targets, Duration::from_secs(5));
    advance(until.duration_since(Instant::now())).await;
    let mut placed = Vec::new();
    for _ in 0..4 {
        let guards: Vec<PlacementGuard> =
            std::iter::from_fn(|| targets.place_request(&query).ok()).take(100).collect();
        guards.iter().take(1).for_each(PlacementGuard::record_work);
        placed.push(guards.len());
    }
    assert_eq!(placed, [1, 2, 4, 8]);
    advance(RequestedPause::RAMP_TIME).await;
    assert_eq!((0..40).filter_map(|_| targets.place_request(&query).ok()).count(), 40);
}

#[tokio::test(start_paused = true)]
async fn vms_return_from_a_pause_at_different_times() {
    let time = Duration::from_secs(5);
    let now = Instant::now();
    let ends: BTreeSet<Duration> = (0..20)
        .map(|vm| {
            let targets = target_table_of(&format!("entry-{vm}"));
            targets.apply(record(1, 0, 0));
            pause(&targets, time).duration_since(now)
        })
        .collect();
    let longest = time + time.mul_f64(RequestedPause::SPREAD);
    assert_eq!(ends.len(), 20);
    assert!(ends.iter().all(|end| (time..=longest).contains(end)), "{ends:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_without_a_target_learns_the_first_return() {
    let targets = target_table_of("entry-0");
    let query = PlacementQuery::new("briefs");
    targets.apply(record(1, 0, 0));
    let first = pause(&targets, Duration::from_secs(2));
    targets.apply(record(2, 0, 0));
    pause(&targets, Duration::from_secs(9));
    let wait = first.duration_since(Instant::now());
    let error = targets.place_request(&query).map(drop).unwrap_err();
    assert_eq!(error, PlacementError::Paused { target: "t-1".into(), wait });
    assert_eq!(targets.first_return(&query), Some(wait));
    targets.apply(record(3, 0, 0));
    assert_eq!(targets.first_return(&query), None);
}

#[tokio::test(start_paused = true)]
async fn an_unusable_time_pauses_for_a_bounded_time() {
    for request in [PauseRequest::Unclear, PauseRequest::For(2 * RequestedPause::LONGEST)] {
        let targets = target_table_of("entry-0");
        targets.apply(record(1, 0, 0));
        let query = PlacementQuery::new("briefs");
        targets.place_request(&query).unwrap().record_pause(request);
        assert!(targets.place_request(&query).is_err());
        advance(TargetHealth::FIRST_PAUSE).await;
        assert!(targets.place_request(&query).is_ok());
    }
}

#[tokio::test(start_paused = true)]
async fn a_cold_target_gets_its_quota_after_a_pause() {
    let targets = target_table_of("entry-0");
    targets.apply(record(1, 0, 0).cold_left(Duration::from_secs(20)));
    let query = PlacementQuery::new("briefs");
    let until = pause(&targets, Duration::from_secs(5));
    advance(until.duration_since(Instant::now())).await;
    let place = || {
        let guard = targets.place_request(&query).ok()?;
        guard.record_response(None, false);
        guard.record_work();
        Some(())
    };
    assert_eq!((0..200).filter_map(|_| place()).count(), 48);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_among_cold_and_paused_targets_names_the_earlier_room() {
    let targets = target_table_of("entry-0");
    let query = PlacementQuery::new("briefs");
    targets.apply(record(1, 0, 0));
    pause(&targets, Duration::from_millis(200));
    targets.apply(record(2, 0, 0).cold_left(Duration::from_secs(20)));
    while let Ok(guard) = targets.place_request(&query) {
        guard.record_work();
    }
    let Err(PlacementError::Full(wait)) = targets.place_request(&query) else { panic!() };
    assert!(wait <= Duration::from_millis(220), "{wait:?}");
}

#[tokio::test(start_paused = true)]
async fn a_request_is_confirmed_only_while_its_target_may_get_it() {
    type Change = fn(&TargetTable, &PlacementGuard);
    let cases: [(&str, Change); 8] = [
        ("no change", |_, _| ()),
        ("leaves", |_, first| {
            first.record_leaving(TargetOutcome::Ran);
        }),
        ("pauses", |_, first| {
            first.record_pause(PauseRequest::For(Duration::from_secs(1)));
        }),
        ("connection lost", |_, first| first.record_lost()),
        ("registered as leaving", |targets, _| targets.apply(record(1, 0, 1).leaving(true))),
        ("removed", |targets, _| targets.remove(&"t-1".into())),
        ("next incarnation", |targets, _| targets.apply(record(1, 1, 0))),
        ("evacuated", |targets, _| targets.set_evacuated(["lis-a".into()].into())),
    ];
    let mut lines = String::new();
    for (name, change) in cases {
        let targets = target_table_of("entry-0");
        targets.apply(record(1, 0, 0));
        let place = || targets.place_request(&PlacementQuery::new("briefs")).unwrap();
        let (first, second) = (place(), place());
        change(&targets, &first);
        writeln!(lines, "{name}: {:?}", second.send_check().confirm()).unwrap();
    }
    insta::assert_snapshot!(lines, @r"
    no change: Ok(())
    leaves: Err(Leaving)
    pauses: Err(Paused)
    connection lost: Ok(())
    registered as leaving: Err(Leaving)
    removed: Err(Unregistered)
    next incarnation: Err(Unregistered)
    evacuated: Err(Evacuated)
    ");
}

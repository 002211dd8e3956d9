//! Checks that each kind of violation is found, and that a correct run has none.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{Completion, Kind, Outcome, PlannedChange, Recorder, Run, Subject, find_violations};
use std::{fmt::Write, time::Duration};
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn completion(outcome: Outcome, kind: Kind, sent: Instant) -> Completion {
    Completion { at: sent + Duration::from_millis(100), outcome, kind, sent, vm: 1 }
}

fn whole() -> Outcome {
    Outcome::Answer("whole".to_owned())
}

fn run(target: usize, service: &'static str) -> Run {
    Run { at: Instant::now(), service, target, unnamed: false }
}

/// Records a request that a target executes and answers now.
fn serve(recorder: &Recorder, id: &str, kind: Kind, service: &'static str) {
    recorder.record_run(id, run(0, service));
    recorder.record_completion(id.to_owned(), completion(whole(), kind, Instant::now()));
}

type Setup = fn(&Recorder);

/// Name, events before, seconds between, and events after.
const CASES: &[(&str, Setup, u64, Setup)] = &[
    ("sound", |_| {}, 0, |l| serve(l, "a", Kind::Once, "briefs")),
    (
        "runs twice",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Once, "briefs");
            l.record_run("a", run(3, "briefs"));
        },
    ),
    (
        "a read runs twice",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
            l.record_run("a", run(3, "briefs"));
        },
    ),
    (
        "refused and ran",
        |_| {},
        0,
        |l| {
            l.record_run("a", run(0, "briefs"));
            l.record_completion(
                "a".into(),
                completion(Outcome::Status(503), Kind::Upload, Instant::now()),
            );
        },
    ),
    (
        "refused as unknown and ran",
        |_| {},
        0,
        |l| {
            l.record_run("a", run(0, "briefs"));
            l.record_completion(
                "a".into(),
                completion(Outcome::Status(502), Kind::Upload, Instant::now()),
            );
        },
    ),
    (
        "another's answer",
        |_| {},
        0,
        |l| {
            l.record_run("a", run(0, "briefs"));
            l.record_completion(
                "a".into(),
                completion(Outcome::Answer("b 0".into()), Kind::Read, Instant::now()),
            );
        },
    ),
    (
        "an answer without a run",
        |_| {},
        0,
        |l| {
            l.record_completion("a".into(), completion(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "denied",
        |_| {},
        0,
        |l| {
            l.record_completion(
                "a".into(),
                completion(Outcome::Status(404), Kind::Read, Instant::now()),
            );
        },
    ),
    (
        "cut",
        |_| {},
        0,
        |l| {
            l.record_run("a", run(0, "briefs"));
            l.record_completion(
                "a".into(),
                completion(Outcome::Broken, Kind::Once, Instant::now()),
            );
        },
    ),
    (
        "cut by a kill",
        |l| {
            l.begin_disruption(Subject::Vm(1));
        },
        0,
        |l| {
            l.record_run("a", run(0, "briefs"));
            l.record_completion(
                "a".into(),
                completion(Outcome::Broken, Kind::Once, Instant::now()),
            );
        },
    ),
    (
        "no end",
        |_| {},
        0,
        |l| {
            let completion = completion(Outcome::None, Kind::Once, Instant::now());
            l.record_completion(
                "a".into(),
                Completion { at: completion.sent + 4 * SECOND, ..completion },
            );
        },
    ),
    (
        "a run at a draining target, soon",
        |l| l.record_change(PlannedChange::Drained(0)),
        2,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late",
        |l| l.record_change(PlannedChange::Drained(0)),
        3,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late, store down",
        |l| {
            l.record_change(PlannedChange::Drained(0));
            l.begin_disruption(Subject::Store);
        },
        3,
        |l| serve(l, "a", Kind::Read, "briefs"),
    ),
    (
        "a run at a target that is back",
        |l| l.record_change(PlannedChange::Drained(0)),
        6,
        |l| {
            l.record_change(PlannedChange::Undrained(0));
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, soon",
        |l| l.record_change(PlannedChange::Evacuated(0)),
        4,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, late",
        |l| l.record_change(PlannedChange::Evacuated(0)),
        6,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in a zone that is back",
        |l| l.record_change(PlannedChange::Evacuated(0)),
        6,
        |l| {
            l.record_change(PlannedChange::Returned(0));
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "an old configuration, soon",
        |l| l.record_change(PlannedChange::Configured("media")),
        2,
        |l| {
            serve(l, "a", Kind::Moved, "briefs");
        },
    ),
    (
        "an old configuration, late",
        |l| l.record_change(PlannedChange::Configured("media")),
        4,
        |l| {
            serve(l, "a", Kind::Moved, "briefs");
        },
    ),
    (
        "a target that isn't named",
        |_| {},
        0,
        |l| {
            l.record_run("a", Run { unnamed: true, ..run(0, "briefs") });
            l.record_completion("a".into(), completion(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "a stop that hangs",
        |_| {},
        0,
        |l| {
            l.record_process_failure("VM 2 after SIGTERM: it still runs".into());
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "half is not served at the end",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
            l.record_completion(
                "b".into(),
                completion(Outcome::Status(503), Kind::Read, Instant::now()),
            );
        },
    ),
];

#[tokio::test(start_paused = true)]
async fn finds_each_broken_promise() {
    advance(Duration::from_secs(1_000)).await;
    let mut table = String::new();
    for (name, before, seconds, after) in CASES {
        let recorder = Recorder::default();
        recorder.record_change(PlannedChange::Configured("briefs"));
        advance(Duration::from_secs(30)).await;
        before(&recorder);
        advance(SECOND * *seconds as u32).await;
        after(&recorder);
        let found = find_violations(&recorder, Instant::now() - SECOND);
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        writeln!(table, "{name}: {}", found.join("; ")).unwrap();
    }
    insta::assert_snapshot!(table);
}

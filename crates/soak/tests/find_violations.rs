//! Checks that each kind of violation is found, and that a correct run has none.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{
    CallOutcome, Completion, HistoryRecorder, Kind, PlannedChange, Run, Subject, find_violations,
};
use std::{fmt::Write, time::Duration};
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn completion(outcome: CallOutcome, kind: Kind, sent: Instant) -> Completion {
    Completion { at: sent + Duration::from_millis(100), outcome, kind, sent, vm: 1 }
}

fn whole() -> CallOutcome {
    CallOutcome::Answer("whole".to_owned())
}

fn run(target: usize, service: &'static str) -> Run {
    Run { at: Instant::now(), service, target, unnamed: false }
}

/// Records a request that a target executes and answers now.
fn serve(recorder: &HistoryRecorder, id: &str, kind: Kind, service: &'static str) {
    recorder.record_run(id, run(0, service));
    recorder.record_completion(id.to_owned(), completion(whole(), kind, Instant::now()));
}

type Setup = fn(&HistoryRecorder);

/// Name of a case, events to record first, seconds to wait, and events to record then.
const CASES: &[(&str, Setup, u64, Setup)] = &[
    ("sound", |_| {}, 0, |r| serve(r, "a", Kind::Once, "briefs")),
    (
        "runs twice",
        |_| {},
        0,
        |r| {
            serve(r, "a", Kind::Once, "briefs");
            r.record_run("a", run(3, "briefs"));
        },
    ),
    (
        "a read runs twice",
        |_| {},
        0,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
            r.record_run("a", run(3, "briefs"));
        },
    ),
    (
        "refused and ran",
        |_| {},
        0,
        |r| {
            r.record_run("a", run(0, "briefs"));
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Status(503), Kind::Upload, Instant::now()),
            );
        },
    ),
    (
        "refused as unknown and ran",
        |_| {},
        0,
        |r| {
            r.record_run("a", run(0, "briefs"));
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Status(502), Kind::Upload, Instant::now()),
            );
        },
    ),
    (
        "another's answer",
        |_| {},
        0,
        |r| {
            r.record_run("a", run(0, "briefs"));
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Answer("b 0".into()), Kind::Read, Instant::now()),
            );
        },
    ),
    (
        "an answer without a run",
        |_| {},
        0,
        |r| {
            r.record_completion("a".into(), completion(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "denied",
        |_| {},
        0,
        |r| {
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Status(404), Kind::Read, Instant::now()),
            );
        },
    ),
    (
        "cut",
        |_| {},
        0,
        |r| {
            r.record_run("a", run(0, "briefs"));
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Broken, Kind::Once, Instant::now()),
            );
        },
    ),
    (
        "cut by a kill",
        |r| {
            r.begin_disruption(Subject::Vm(1));
        },
        0,
        |r| {
            r.record_run("a", run(0, "briefs"));
            r.record_completion(
                "a".into(),
                completion(CallOutcome::Broken, Kind::Once, Instant::now()),
            );
        },
    ),
    (
        "no end",
        |_| {},
        0,
        |r| {
            let completion = completion(CallOutcome::None, Kind::Once, Instant::now());
            r.record_completion(
                "a".into(),
                Completion { at: completion.sent + 4 * SECOND, ..completion },
            );
        },
    ),
    (
        "a run at a draining target, soon",
        |r| r.record_change(PlannedChange::Drained(0)),
        2,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late",
        |r| r.record_change(PlannedChange::Drained(0)),
        3,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late, store down",
        |r| {
            r.record_change(PlannedChange::Drained(0));
            r.begin_disruption(Subject::Store);
        },
        3,
        |r| serve(r, "a", Kind::Read, "briefs"),
    ),
    (
        "a run at a target that is back",
        |r| r.record_change(PlannedChange::Drained(0)),
        6,
        |r| {
            r.record_change(PlannedChange::Undrained(0));
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, soon",
        |r| r.record_change(PlannedChange::Evacuated(0)),
        4,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, late",
        |r| r.record_change(PlannedChange::Evacuated(0)),
        6,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in a zone that is back",
        |r| r.record_change(PlannedChange::Evacuated(0)),
        6,
        |r| {
            r.record_change(PlannedChange::EvacuationCancelled(0));
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "an old configuration, soon",
        |r| r.record_change(PlannedChange::Configured("media")),
        2,
        |r| {
            serve(r, "a", Kind::Moved, "briefs");
        },
    ),
    (
        "an old configuration, late",
        |r| r.record_change(PlannedChange::Configured("media")),
        4,
        |r| {
            serve(r, "a", Kind::Moved, "briefs");
        },
    ),
    (
        "a target that isn't named",
        |_| {},
        0,
        |r| {
            r.record_run("a", Run { unnamed: true, ..run(0, "briefs") });
            r.record_completion("a".into(), completion(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "a stop that hangs",
        |_| {},
        0,
        |r| {
            r.record_process_failure("VM 2 after SIGTERM: it still runs".into());
            serve(r, "a", Kind::Read, "briefs");
        },
    ),
    (
        "half is not served at the end",
        |_| {},
        0,
        |r| {
            serve(r, "a", Kind::Read, "briefs");
            r.record_completion(
                "b".into(),
                completion(CallOutcome::Status(503), Kind::Read, Instant::now()),
            );
        },
    ),
];

#[tokio::test(start_paused = true)]
async fn finds_each_broken_promise() {
    advance(Duration::from_secs(1_000)).await;
    let mut table = String::new();
    for (name, before, seconds, after) in CASES {
        let recorder = HistoryRecorder::default();
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

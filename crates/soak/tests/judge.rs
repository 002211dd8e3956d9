//! Checks that each kind of violation is found, and that a correct run has none.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{End, Ending, Kind, Ledger, Plan, Run, Subject, judge};
use std::{fmt::Write, time::Duration};
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn end(ending: Ending, kind: Kind, sent: Instant) -> End {
    End { at: sent + Duration::from_millis(100), ending, kind, sent, vm: 1 }
}

fn whole() -> Ending {
    Ending::Answer("whole".to_owned())
}

fn run(target: usize, service: &'static str) -> Run {
    Run { at: Instant::now(), service, target, unnamed: false }
}

/// Records a request that a target executes and answers now.
fn serve(ledger: &Ledger, id: &str, kind: Kind, service: &'static str) {
    ledger.note_run(id, run(0, service));
    ledger.note_end(id.to_owned(), end(whole(), kind, Instant::now()));
}

type Scene = fn(&Ledger);

/// Name, events before, seconds between, and events after.
const SCENES: &[(&str, Scene, u64, Scene)] = &[
    ("sound", |_| {}, 0, |l| serve(l, "a", Kind::Once, "briefs")),
    (
        "runs twice",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Once, "briefs");
            l.note_run("a", run(3, "briefs"));
        },
    ),
    (
        "a read runs twice",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
            l.note_run("a", run(3, "briefs"));
        },
    ),
    (
        "refused and ran",
        |_| {},
        0,
        |l| {
            l.note_run("a", run(0, "briefs"));
            l.note_end("a".into(), end(Ending::Status(503), Kind::Upload, Instant::now()));
        },
    ),
    (
        "refused as unknown and ran",
        |_| {},
        0,
        |l| {
            l.note_run("a", run(0, "briefs"));
            l.note_end("a".into(), end(Ending::Status(502), Kind::Upload, Instant::now()));
        },
    ),
    (
        "another's answer",
        |_| {},
        0,
        |l| {
            l.note_run("a", run(0, "briefs"));
            l.note_end("a".into(), end(Ending::Answer("b 0".into()), Kind::Read, Instant::now()));
        },
    ),
    (
        "an answer without a run",
        |_| {},
        0,
        |l| {
            l.note_end("a".into(), end(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "denied",
        |_| {},
        0,
        |l| {
            l.note_end("a".into(), end(Ending::Status(404), Kind::Read, Instant::now()));
        },
    ),
    (
        "cut",
        |_| {},
        0,
        |l| {
            l.note_run("a", run(0, "briefs"));
            l.note_end("a".into(), end(Ending::Broken, Kind::Once, Instant::now()));
        },
    ),
    (
        "cut by a kill",
        |l| {
            l.begin(Subject::Vm(1));
        },
        0,
        |l| {
            l.note_run("a", run(0, "briefs"));
            l.note_end("a".into(), end(Ending::Broken, Kind::Once, Instant::now()));
        },
    ),
    (
        "no end",
        |_| {},
        0,
        |l| {
            let end = end(Ending::None, Kind::Once, Instant::now());
            l.note_end("a".into(), End { at: end.sent + 4 * SECOND, ..end });
        },
    ),
    (
        "a run at a draining target, soon",
        |l| l.note_plan(Plan::Drained(0)),
        2,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late",
        |l| l.note_plan(Plan::Drained(0)),
        3,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run at a draining target, late, store down",
        |l| {
            l.note_plan(Plan::Drained(0));
            l.begin(Subject::Store);
        },
        3,
        |l| serve(l, "a", Kind::Read, "briefs"),
    ),
    (
        "a run at a target that is back",
        |l| l.note_plan(Plan::Drained(0)),
        6,
        |l| {
            l.note_plan(Plan::Undrained(0));
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, soon",
        |l| l.note_plan(Plan::Evacuated(0)),
        4,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in an evacuated zone, late",
        |l| l.note_plan(Plan::Evacuated(0)),
        6,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "a run in a zone that is back",
        |l| l.note_plan(Plan::Evacuated(0)),
        6,
        |l| {
            l.note_plan(Plan::Returned(0));
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "an old configuration, soon",
        |l| l.note_plan(Plan::Configured("media")),
        2,
        |l| {
            serve(l, "a", Kind::Moved, "briefs");
        },
    ),
    (
        "an old configuration, late",
        |l| l.note_plan(Plan::Configured("media")),
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
            l.note_run("a", Run { unnamed: true, ..run(0, "briefs") });
            l.note_end("a".into(), end(whole(), Kind::Read, Instant::now()));
        },
    ),
    (
        "a stop that hangs",
        |_| {},
        0,
        |l| {
            l.note_bad_stop("VM 2 after SIGTERM: it still runs".into());
            serve(l, "a", Kind::Read, "briefs");
        },
    ),
    (
        "half is not served at the end",
        |_| {},
        0,
        |l| {
            serve(l, "a", Kind::Read, "briefs");
            l.note_end("b".into(), end(Ending::Status(503), Kind::Read, Instant::now()));
        },
    ),
];

#[tokio::test(start_paused = true)]
async fn finds_each_broken_promise() {
    advance(Duration::from_secs(1_000)).await;
    let mut table = String::new();
    for (name, before, seconds, after) in SCENES {
        let ledger = Ledger::default();
        ledger.note_plan(Plan::Configured("briefs"));
        advance(Duration::from_secs(30)).await;
        before(&ledger);
        advance(SECOND * *seconds as u32).await;
        after(&ledger);
        let found = judge(&ledger, Instant::now() - SECOND);
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        writeln!(table, "{name}: {}", found.join("; ")).unwrap();
    }
    insta::assert_snapshot!(table);
}

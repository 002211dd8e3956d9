//! Checks that each kind of violation is found, and that a correct run has none.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use soak::{
    AnswerStyle, Arrival, CallOutcome, Completion, HistoryRecorder, Kind, Notice, PlannedChange,
    Run, Subject, find_violations,
};
use std::{fmt::Write, time::Duration};
use tokio::time::{Instant, advance};

const SECOND: Duration = Duration::from_secs(1);

fn completion(outcome: CallOutcome, kind: Kind, sent: Instant) -> Completion {
    Completion {
        at: sent + Duration::from_millis(100),
        outcome,
        kind,
        pipelined: false,
        sent,
        vm: 1,
    }
}

fn whole() -> CallOutcome {
    CallOutcome::Answer("whole".to_owned())
}

fn run(target: usize, service: &'static str) -> Run {
    let style = AnswerStyle::Length;
    Run { at: Instant::now(), ended: None, service, style, target, unnamed: false }
}

/// Records requests that target 0 receives and answers now; their responses hold a notice.
fn receive(recorder: &HistoryRecorder, ids: &[&str], notice: Option<Notice>) {
    for id in ids {
        let arrival =
            Arrival { at: Instant::now(), incarnation: 0, limited: false, notice, target: 0 };
        recorder.record_arrival(id, arrival);
        let outcome = match notice {
            Some(Notice::Pause(_)) => CallOutcome::Status(503),
            _ => whole(),
        };
        recorder.record_run(id, run(0, "briefs"));
        recorder.record_completion((*id).into(), completion(outcome, Kind::Read, Instant::now()));
    }
}

/// Records a read that target 0 answers with an announcement that it leaves, and then target 6.
fn repeat_elsewhere(recorder: &HistoryRecorder, style: AnswerStyle) {
    recorder.record_run("a", Run { style, ..run(0, "briefs") });
    for (target, notice) in [(0, Some(Notice::Leaving)), (6, None)] {
        let arrival =
            Arrival { at: Instant::now(), incarnation: 0, limited: false, notice, target };
        recorder.record_arrival("a", arrival);
    }
    recorder.record_run("a", run(6, "briefs"));
    recorder.record_completion("a".into(), completion(whole(), Kind::Read, Instant::now()));
}

/// Records a read whose connection ends after its target has written the whole response.
fn lose(recorder: &HistoryRecorder, style: AnswerStyle) {
    recorder.record_run("a-1", Run { style, ..run(0, "briefs") });
    recorder.record_end("a-1", 0);
    let lost = completion(CallOutcome::Broken, Kind::Read, Instant::now());
    let pipelined = recorder.completions().contains_key("a-0");
    recorder.record_completion("a-1".into(), Completion { pipelined, ..lost });
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
    ("a read that ran is lost", |_| {}, 0, |r| lose(r, AnswerStyle::Chunked)),
    (
        "a read that ran is lost behind another",
        |r| {
            r.record_run("a-0", Run { style: AnswerStyle::CutChunks, ..run(3, "briefs") });
            let cut = completion(CallOutcome::Broken, Kind::Read, Instant::now());
            r.record_completion("a-0".into(), cut);
        },
        0,
        |r| lose(r, AnswerStyle::Length),
    ),
    ("a read whose target broke off is lost", |_| {}, 0, |r| lose(r, AnswerStyle::CutLength)),
    (
        "a read is lost with its VM",
        |r| {
            r.begin_disruption(Subject::Vm(1));
        },
        0,
        |r| lose(r, AnswerStyle::Length),
    ),
    (
        "a read at a target that said it leaves, soon",
        |r| receive(r, &["a"], Some(Notice::Leaving)),
        2,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves, late",
        |r| receive(r, &["a"], Some(Notice::Leaving)),
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves in a body that broke off, late",
        |r| repeat_elsewhere(r, AnswerStyle::CutLength),
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves in a head that broke off, late",
        |r| repeat_elsewhere(r, AnswerStyle::CutHead),
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves in a response that was lost, late",
        |r| {
            r.begin_disruption(Subject::Target(0));
            repeat_elsewhere(r, AnswerStyle::Length);
        },
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves, late, of a VM that was out of touch",
        |r| {
            receive(r, &["a"], Some(Notice::Leaving));
            r.begin_disruption(Subject::Link(1));
        },
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "a read at a target that said it leaves, late, of a VM that was suspended",
        |r| {
            receive(r, &["a"], Some(Notice::Leaving));
            r.begin_disruption(Subject::Vm(1));
        },
        3,
        |r| receive(r, &["b"], None),
    ),
    (
        "two reads in a pause",
        |r| receive(r, &["a"], Some(Notice::Pause(2 * SECOND))),
        1,
        |r| receive(r, &["b", "c"], None),
    ),
    (
        "three reads in a pause",
        |r| receive(r, &["a"], Some(Notice::Pause(2 * SECOND))),
        1,
        |r| receive(r, &["b", "c", "d"], None),
    ),
    (
        "three reads after a pause",
        |r| receive(r, &["a"], Some(Notice::Pause(2 * SECOND))),
        3,
        |r| receive(r, &["b", "c", "d"], None),
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

/// Records requests of a VM at a target that names two a second for 20 s, 10 in each later second.
async fn exceed_limit(recorder: &HistoryRecorder, seconds: u64, disrupted: bool) -> String {
    recorder.record_limit(0, Some(2.0));
    for second in 0..20 {
        if disrupted && second == 5 {
            let disruption = recorder.begin_disruption(Subject::Vm(1));
            recorder.end_disruption(disruption);
        }
        let count = if (6..6 + seconds).contains(&second) { 10 } else { 1 };
        for i in 0..count {
            let id = format!("{second}-{i}");
            let arrival = Arrival {
                at: Instant::now(),
                incarnation: 0,
                limited: true,
                notice: None,
                target: 0,
            };
            recorder.record_arrival(&id, arrival);
            recorder.record_run(&id, run(0, "briefs"));
            recorder.record_completion(id, completion(whole(), Kind::Read, Instant::now()));
        }
        advance(SECOND).await;
    }
    recorder.record_limit(0, None);
    let found = find_violations(recorder, Instant::now() + SECOND);
    let found = found.iter().map(ToString::to_string);
    found.collect::<Vec<_>>().join("; ")
}

#[tokio::test(start_paused = true)]
async fn finds_targets_that_got_more_than_their_limit() {
    let mut table = String::new();
    for (name, seconds, disrupted) in
        [("kept", 0, false), ("once", 1, false), ("passed", 3, false), ("excused", 3, true)]
    {
        let recorder = HistoryRecorder::default();
        let found = exceed_limit(&recorder, seconds, disrupted).await;
        writeln!(table, "{name}: [{found}]").unwrap();
    }
    insta::assert_snapshot!(table);
}

#[tokio::test(start_paused = true)]
async fn a_read_that_ends_at_its_deadline_is_lost_only_if_its_response_was_early() {
    let mut table = String::new();
    for (ended, at) in
        [(1_000, 1_100), (1_000, 3_020), (2_700, 3_020), (2_850, 2_900), (2_850, 3_020)]
    {
        let recorder = HistoryRecorder::default();
        let sent = Instant::now();
        recorder.record_run("a", run(0, "briefs"));
        advance(Duration::from_millis(ended)).await;
        recorder.record_end("a", 0);
        let at_time = sent + Duration::from_millis(at);
        let lost = Completion { at: at_time, ..completion(CallOutcome::Broken, Kind::Moved, sent) };
        recorder.record_completion("a".into(), lost);
        let found = find_violations(&recorder, at_time + SECOND);
        let lost = found.iter().any(|v| v.promise == "a read that ran is answered");
        writeln!(table, "written at {ended} ms, ended at {at} ms: lost {lost}").unwrap();
    }
    insta::assert_snapshot!(table);
}

//! A pool under load in virtual time, compared with a naive proxy: round robin by the last load
//! report, first come first served, and up to three attempts without a retry budget.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod support;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    fmt::Write,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use steer::{EntryNode, Origin, serve_request};
use support::{FakeTargets, quantile, request, serving_node};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

const TARGETS: usize = 12;
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(50);
/// Initial part of a run that is not measured.
const WARM_UP: Duration = Duration::from_secs(4);
/// Interval of the load reports that the naive proxy reads.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Poisson arrivals of one class and member.
#[derive(Clone, Copy, Debug)]
struct RequestStream {
    class: &'static str,
    member: &'static str,
    /// Share of the pool's slots that the stream occupies on average.
    load: f64,
    /// Share of the requests that take ten times as long.
    straggling: f64,
    work: Duration,
}

const fn reads(member: &'static str, load: f64) -> RequestStream {
    RequestStream { class: "read", load, member, straggling: 0.0, work: WORK }
}

/// A request of a stream, with its arrival time and service time.
#[derive(Clone, Copy, Debug)]
struct Job {
    at: Duration,
    stream: usize,
    work: Duration,
}

/// Arrivals of all streams, sorted by time.
fn arrivals(streams: &[RequestStream], length: Duration, seed: u64) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed * 100 + index as u64);
        let slots = (TARGETS as u32 * SLOTS) as f64;
        let mean = stream.work.as_secs_f64() * (1.0 + 9.0 * stream.straggling);
        let rate = stream.load * slots / mean;
        let mut at = 0.0;
        while at < length.as_secs_f64() {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at -= uniform.ln() / rate;
            let factor = if rng.random_bool(stream.straggling) { 10.0 } else { 1.0 };
            let work = stream.work.mul_f64(rng.random_range(0.5..1.5) * factor);
            jobs.push(Job { at: Duration::from_secs_f64(at), stream: index, work });
        }
    }
    jobs.sort_by_key(|job| job.at);
    jobs
}

/// The result of a request.
#[derive(Clone, Copy, Debug)]
struct JobResult {
    job: Job,
    ran: bool,
    time: Duration,
}

/// The proxy under test, or the one that it is compared with.
#[derive(Clone, Debug)]
enum TestedProxy {
    Current(Arc<EntryNode>),
    Naive(Arc<RoundRobinProxy>),
}

/// Round robin over the targets that had a free slot in their last load report.
#[derive(Debug)]
struct RoundRobinProxy {
    next: AtomicU32,
    reports: Vec<AtomicU32>,
    targets: FakeTargets,
}

impl RoundRobinProxy {
    fn new(targets: &FakeTargets) -> Arc<Self> {
        let reports = targets.0.iter().map(|_| AtomicU32::new(0)).collect();
        Arc::new(Self { next: AtomicU32::new(0), reports, targets: targets.clone() })
    }

    fn read_reports(&self) {
        for (report, target) in self.reports.iter().zip(&self.targets.0) {
            report.store(target.busy.load(Ordering::Relaxed), Ordering::Relaxed);
        }
    }

    fn choose(&self) -> usize {
        let turn = || self.next.fetch_add(1, Ordering::Relaxed) as usize % TARGETS;
        let free = |at: &usize| self.reports[*at].load(Ordering::Relaxed) < SLOTS;
        let first = turn();
        (0..TARGETS).map(|_| turn()).find(free).unwrap_or(first)
    }

    /// Sends a request up to three times, until it ends within the deadline.
    async fn serve(&self, work: Duration, deadline: Duration) -> bool {
        for _ in 0..3 {
            let target = &self.targets.0[self.choose()];
            if timeout(deadline, target.run(work)).await.is_ok() {
                return true;
            }
        }
        false
    }
}

async fn serve(proxy: &TestedProxy, stream: RequestStream, work: Duration) -> bool {
    match proxy {
        TestedProxy::Current(node) => {
            let request = request(stream.class, stream.member, work);
            let Ok(response) = serve_request(node, request, Origin::Caller).await else {
                return false;
            };
            drop(response.into_body());
            true
        }
        TestedProxy::Naive(naive) => naive.serve(work, Duration::from_secs(2)).await,
    }
}

/// Runs all jobs.
async fn run(
    proxy: TestedProxy,
    streams: &'static [RequestStream],
    jobs: Vec<Job>,
) -> Vec<JobResult> {
    let start = Instant::now();
    let reports = proxy.clone();
    let reader = tokio::spawn(async move {
        while let TestedProxy::Naive(naive) = &reports {
            sleep(REPORT_INTERVAL).await;
            naive.read_reports();
        }
    });
    let mut tasks = JoinSet::new();
    for job in jobs {
        sleep_until(start + job.at).await;
        let proxy = proxy.clone();
        tasks.spawn(async move {
            let begin = Instant::now();
            let ran = serve(&proxy, streams[job.stream], job.work).await;
            JobResult { job, ran, time: begin.elapsed() }
        });
    }
    let ends = tasks.join_all().await;
    reader.abort();
    ends
}

/// Requests that ran and arrived after the warm-up.
fn measured(ends: &[JobResult]) -> impl Iterator<Item = &JobResult> {
    ends.iter().filter(|end| end.ran && end.job.at >= WARM_UP)
}

async fn run_current(
    targets: &FakeTargets,
    streams: &'static [RequestStream],
    length: Duration,
) -> Vec<JobResult> {
    let proxy = TestedProxy::Current(serving_node(targets));
    run(proxy, streams, arrivals(streams, length, 1)).await
}

async fn run_naive(
    targets: &FakeTargets,
    streams: &'static [RequestStream],
    length: Duration,
) -> Vec<JobResult> {
    let proxy = TestedProxy::Naive(RoundRobinProxy::new(targets));
    run(proxy, streams, arrivals(streams, length, 1)).await
}

fn p99(ends: &[JobResult], stream: usize) -> Duration {
    let ran = measured(ends).filter(|end| end.job.stream == stream);
    quantile(&mut ran.map(|end| end.time).collect::<Vec<_>>(), 0.99)
}

fn refused(ends: &[JobResult]) -> usize {
    ends.iter().filter(|end| !end.ran).count()
}

/// Jain's fairness index of the served work, normalized by weight.
fn jain(ends: &[JobResult], weights: &[f64]) -> f64 {
    let mut served = vec![0.0; weights.len()];
    for end in measured(ends) {
        served[end.job.stream] += end.job.work.as_secs_f64() / weights[end.job.stream];
    }
    let sum: f64 = served.iter().sum();
    let squares: f64 = served.iter().map(|x| x * x).sum();
    sum * sum / (served.len() as f64 * squares)
}

#[tokio::test(start_paused = true)]
async fn keeps_p99_low_while_two_of_twelve_targets_are_slow() {
    static STREAMS: [RequestStream; 1] = [reads("m0", 0.5)];
    let length = Duration::from_secs(20);
    let mut table = String::new();
    let even = FakeTargets::new(TARGETS, SLOTS);
    let unslowed = run_current(&even, &STREAMS, length).await;
    let slowed = FakeTargets::new(TARGETS, SLOTS);
    slowed.slow_down(2, 10.0);
    let current = run_current(&slowed, &STREAMS, length).await;
    let naive_targets = FakeTargets::new(TARGETS, SLOTS);
    naive_targets.slow_down(2, 10.0);
    let naive = run_naive(&naive_targets, &STREAMS, length).await;
    for (name, ends) in [("unslowed", &unslowed), ("slowed", &current), ("naive", &naive)] {
        let (p99, refused) = (p99(ends, 0), refused(ends));
        writeln!(table, "{name:<9} p99 {:>4} ms, refused {refused}", p99.as_millis()).unwrap();
    }
    writeln!(table, "most requests over a target's slots: {}", slowed.max_over_slots()).unwrap();
    insta::assert_snapshot!(table);
    assert!(p99(&current, 0) <= p99(&unslowed, 0).mul_f64(1.5), "{table}");
    assert_eq!(slowed.max_over_slots(), 0);
}

#[tokio::test(start_paused = true)]
async fn shares_slots_by_weight_while_one_member_floods() {
    static FLOOD: [RequestStream; 5] =
        [reads("m0", 0.4), reads("m1", 0.2), reads("m2", 0.2), reads("m3", 0.2), reads("m4", 1.67)];
    let length = Duration::from_secs(15);
    let weights = [2.0, 1.0, 1.0, 1.0, 1.0];
    let targets = FakeTargets::new(TARGETS, SLOTS);
    let current = run_current(&targets, &FLOOD, length).await;
    let naive = run_naive(&FakeTargets::new(TARGETS, SLOTS), &FLOOD, length).await;
    let mut table = String::new();
    for (name, ends) in [("current", &current), ("naive", &naive)] {
        writeln!(table, "{name:<7} Jain {:.2}", jain(ends, &weights)).unwrap();
    }
    insta::assert_snapshot!(table);
    assert!(jain(&current, &weights) >= 0.98, "{table}");
    assert_eq!(targets.max_over_slots(), 0);
}

#[tokio::test(start_paused = true)]
async fn serves_other_members_as_before_during_a_flood() {
    static CALM: [RequestStream; 4] =
        [reads("m0", 0.2), reads("m1", 0.1), reads("m2", 0.1), reads("m3", 0.1)];
    static FLOOD: [RequestStream; 5] = [CALM[0], CALM[1], CALM[2], CALM[3], reads("m4", 1.67)];
    let length = Duration::from_secs(15);
    let calm = run_current(&FakeTargets::new(TARGETS, SLOTS), &CALM, length).await;
    let flood = run_current(&FakeTargets::new(TARGETS, SLOTS), &FLOOD, length).await;
    let naive = run_naive(&FakeTargets::new(TARGETS, SLOTS), &FLOOD, length).await;
    let mut table = String::new();
    for (stream, member) in CALM.iter().enumerate().map(|(i, s)| (i, s.member)) {
        let [a, b, c] = [&calm, &flood, &naive].map(|ends| p99(ends, stream).as_millis());
        writeln!(table, "{member} p99 calm {a} ms, flood {b} ms, naive {c} ms").unwrap();
        assert!(b * 10 <= a * 12, "{table}");
    }
    let victims = flood.iter().filter(|end| end.job.stream < 4 && !end.ran).count();
    writeln!(table, "victims refused: {victims}").unwrap();
    insta::assert_snapshot!(table);
    assert_eq!(victims, 0);
}

#[tokio::test(start_paused = true)]
async fn keeps_goodput_through_a_surge_to_twice_the_capacity() {
    static SURGE: [RequestStream; 2] = [reads("m0", 1.0), reads("m1", 1.0)];
    let length = Duration::from_secs(15);
    let targets = FakeTargets::new(TARGETS, SLOTS);
    let current = run_current(&targets, &SURGE, length).await;
    let naive_targets = FakeTargets::new(TARGETS, SLOTS);
    let naive = run_naive(&naive_targets, &SURGE, length).await;
    let jobs = arrivals(&SURGE, length, 1).len();
    let capacity = f64::from(SLOTS) * TARGETS as f64 * (length - WARM_UP).as_secs_f64();
    let goodput = |ends: &[JobResult]| {
        measured(ends).map(|end| end.job.work.as_secs_f64()).sum::<f64>() / capacity
    };
    let refusal = current.iter().filter(|end| !end.ran).map(|end| end.time).max();
    let ran = current.iter().filter(|end| end.ran).count();
    let extra = targets.received() as usize + refused(&current);
    let mut table = String::new();
    writeln!(table, "goodput current {:.2}, naive {:.2}", goodput(&current), goodput(&naive))
        .unwrap();
    writeln!(table, "slowest refusal {} ms", refusal.unwrap().as_millis()).unwrap();
    writeln!(table, "sent for {jobs} requests: naive {}", naive_targets.received()).unwrap();
    insta::assert_snapshot!(table);
    assert!(goodput(&current) >= 0.95, "{table}");
    assert!(refusal.unwrap() <= Duration::from_millis(50), "{table}");
    assert!(extra <= jobs + jobs / 10 && ran > 0, "{table}");
}

#[tokio::test(start_paused = true)]
async fn keeps_reads_fast_beside_uploads_and_stragglers() {
    const UPLOAD: RequestStream = RequestStream {
        class: "upload",
        load: 0.2,
        member: "m1",
        straggling: 0.1,
        work: Duration::from_millis(400),
    };
    static READS: [RequestStream; 1] = [reads("m0", 0.25)];
    static MIXED: [RequestStream; 3] =
        [READS[0], UPLOAD, RequestStream { class: "cut", member: "m2", ..UPLOAD }];
    let length = Duration::from_secs(30);
    let alone = run_current(&FakeTargets::new(TARGETS, SLOTS), &READS, length).await;
    let targets = FakeTargets::new(TARGETS, SLOTS);
    let mixed = run_current(&targets, &MIXED, length).await;
    let naive = run_naive(&FakeTargets::new(TARGETS, SLOTS), &MIXED, length).await;
    let mut table = String::new();
    for (name, ends) in [("alone", &alone), ("mixed", &mixed), ("naive", &naive)] {
        writeln!(table, "{name:<5} reads p99 {} ms", p99(ends, 0).as_millis()).unwrap();
    }
    let longest = mixed.iter().filter(|e| e.job.stream > 0).map(|e| e.time).max().unwrap();
    writeln!(table, "uploads and cuts: {} ms at most", longest.as_millis()).unwrap();
    writeln!(table, "refused: {}", refused(&mixed)).unwrap();
    insta::assert_snapshot!(table);
    assert!(p99(&mixed, 0) <= p99(&alone, 0).mul_f64(1.1), "{table}");
    assert_eq!(refused(&mixed), 0);
    assert_eq!(targets.max_over_slots(), 0);
}

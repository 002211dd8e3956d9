//! `ragwortswitch entry`: connects the adapters to the ports and runs an entry VM.

use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    process_settings::ProcessSettings,
};
use adapters::{
    ConnectionPool, HttpPlatform, HttpTargets, Listener, ListenerControl, ListenerLimits,
    ListenerPhase, OtelTracer, RpcPeers, StatsdMeter, handle_caller, handle_forwarded,
    handle_operator, open_log, serve_peers,
};
use lexopt::{Parser, ValueExt};
use slog::{Level, info, warn};
use std::{
    error::Error,
    path::{Path, PathBuf},
    str::FromStr,
    sync::Arc,
    time::{Duration, SystemTime},
};
use steer::{
    EntryNode, EntryPorts, Meter, NoMeter, NoTracer, Peers, PlatformBreaker, StopLimits,
    SystemClock, Tracer, Vm, VmState, run_entry,
};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc::{self, Receiver},
};

/// Timeout for connections to write their last bytes after the last request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Wraps the adapter for peers, for example to inject faults in a test bench.
pub type WrapPeers = fn(Arc<dyn Peers>) -> Arc<dyn Peers>;

const HELP: &str = "\
Runs an entry VM until SIGTERM or SIGINT, then drains it: its running requests
finish.

Usage: ragwortswitch entry FILE [OPTIONS]

FILE holds process settings: who the VM is, where it listens and where the
platform is. Check it with `ragwortswitch check FILE`.

Options:
  --threads N   Worker threads (default 2)
";

/// Default number of worker threads.
const DEFAULT_THREADS: usize = 2;

/// Options of the command.
#[derive(Debug)]
pub(crate) struct EntryOptions {
    pub(crate) settings: PathBuf,
    pub(crate) threads: usize,
}

impl EntryOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut common = CommonOptions::default();
        let (mut settings, mut threads) = (None, DEFAULT_THREADS);
        while let Some(argument) = common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) if name == "threads" => {
                    threads = parser.value()?.parse()?;
                }
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(file) if settings.is_none() => settings = Some(file.into()),
                Argument::Value(value) => return Err(unexpected_value(value)),
            }
        }
        if threads == 0 {
            return Err("--threads is 1 or more".into());
        }
        Ok(Self { settings: settings.ok_or("a file with process settings is missing")?, threads })
    }
}

/// Runs an entry VM until SIGTERM or SIGINT, then drains it.
///
/// `wrap` may wrap the adapter for peers, as test benches do; the binary itself returns it
/// unchanged.
pub(crate) async fn run_entry_vm(path: &Path, wrap: WrapPeers) -> Result<(), Box<dyn Error>> {
    let settings = ProcessSettings::read(path)?;
    let level = settings.log.level.as_deref().and_then(|l| Level::from_str(l).ok());
    let log = open_log(settings.log.format, level.unwrap_or(Level::Info));
    let incarnation = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_micros();
    let tracer = settings
        .traces
        .as_ref()
        .map(|t| OtelTracer::open(settings.name.as_str(), &t.output, t.ratio))
        .transpose()?
        .map(Arc::new);

    let pool = ConnectionPool::new();
    let meter: Arc<dyn Meter> = match settings.metrics {
        Some(server) => Arc::new(StatsdMeter::new(server)?),
        None => Arc::new(NoMeter),
    };
    let platform = HttpPlatform::new(settings.platform, settings.name.as_str(), Arc::clone(&pool));
    let ports = EntryPorts {
        clock: Arc::new(SystemClock),
        meter: Arc::clone(&meter),
        peers: wrap(Arc::new(RpcPeers::new(Arc::clone(&pool)))),
        platform: Arc::new(PlatformBreaker::new(
            Arc::new(platform),
            Arc::clone(&meter),
            settings.name.as_str(),
        )),
        targets: Arc::new(HttpTargets::new(pool)),
        tracer: match &tracer {
            Some(tracer) => Arc::clone(tracer) as Arc<dyn Tracer>,
            None => Arc::new(NoTracer),
        },
    };
    let (vm, state) = Vm::join();
    let entry = settings.entry_vm(u64::try_from(incarnation)?);
    let node = Arc::new(EntryNode::new(entry, ports, state, log.clone()));

    node.set_seeds(settings.seeds.iter().copied());

    let limits = ListenerLimits::default();
    let control = ListenerControl::new();
    let callers = Listener::bind(settings.callers, limits).await?.with_control(&control);
    let handoff = Listener::bind(settings.handoff, limits).await?.with_control(&control);
    let operators = Listener::bind(settings.operators, limits.connections(100)).await?;
    let _peers = serve_peers(Arc::clone(&node), settings.peers).await?;
    let n = Arc::clone(&node);
    tokio::spawn(callers.serve(move |r, caller| handle_caller(Arc::clone(&n), r, caller)));
    let n = Arc::clone(&node);
    tokio::spawn(handoff.serve(move |r, _| handle_forwarded(Arc::clone(&n), r)));
    let n = Arc::clone(&node);
    tokio::spawn(operators.serve(move |r, peer| handle_operator(Arc::clone(&n), r, peer)));
    info!(log, "vm: listening"; "callers" => %settings.callers, "peers" => %settings.peers);

    let limits = settings.drain_s.map(Duration::from_secs);
    let limits =
        limits.map_or_else(StopLimits::default, |limit| StopLimits::default().limit(limit));
    tokio::spawn(follow_state(Arc::clone(&node), control.clone()));
    run_entry(node, vm, stop_signals()?, limits).await;
    if !control.close(CLOSE_TIMEOUT).await {
        warn!(log, "vm: connections still open after the close timeout";
            "connections" => control.connections());
    }
    if let Some(tracer) = tracer {
        tracer.close()?;
    }
    Ok(())
}

/// Updates the phase of the listeners when the state of the VM changes, so that connections close
/// while it drains.
async fn follow_state(node: Arc<EntryNode>, control: ListenerControl) {
    let mut state = node.watch_state();
    while state.changed().await.is_ok() {
        match *state.borrow_and_update() {
            VmState::Stopped => return,
            VmState::Draining => control.set(ListenerPhase::Draining),
            VmState::Joining | VmState::Serving => control.set(ListenerPhase::Open),
        }
    }
}

/// Returns a channel that receives a message for each SIGTERM or SIGINT.
fn stop_signals() -> Result<Receiver<()>, std::io::Error> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = mpsc::channel(2);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if sender.send(()).await.is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}

//! `ragwortswitch router`: runs an entry VM on the users' platform.

use crate::{
    arguments::{Argument, CommonOptions, EarlyExit, unexpected_value, unknown_option},
    router_settings::RouterSettings,
};
use adapters::{
    ConnectionPool, HttpTargets, Listener, ListenerControl, ListenerLimits, LogFormat,
    MetricAggregator, OtelTracer, RpcPeers, StatsdMeter, handle_metrics, open_log, serve_fleet,
};
use lexopt::Parser;
use platform::{
    PlatformTargets, REQUEST_ID, StoreClient, StoreVmRegistry, configuration_registry,
    evacuation_registry, handle_directory, handle_ready, handle_request, kind_label,
    log_listener_event, may_start_early, target_registry, vm_registry,
};
use slog::{Level, info, warn};
use std::{
    env,
    error::Error,
    io,
    path::{Path, PathBuf},
    str::FromStr,
    sync::Arc,
    time::{Duration, SystemTime},
};
use steer::{
    ConfigurationFollower, EvacuationFollower, FollowTiming, Follower, Freshness, NoTracer,
    ObjectCache, Registry, RelayTiming, RelayedSource, Router, RouterParts, RouterPorts, StoreGate,
    StoreRecoveries, TargetFollower, Vm, VmFollower, VmRegistry, follow_registry, poll_upstreams,
    send_hellos,
};
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, timeout},
};

/// Environment variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "RAGWORTSWITCH_SETTINGS";
/// Timing of reads of entry VM registrations. Hello messages between VMs report changes sooner.
const VM_TIMING: FollowTiming = FollowTiming {
    pause: Duration::from_secs(5),
    period: Duration::from_secs(1),
    wait: Duration::from_secs(20),
};
/// Limit on the delay of entry VM registrations, in large fleets. Hello messages between VMs report
/// changes sooner.
const VM_LIMIT: Duration = Duration::from_secs(22);
/// Time for which a poll of another VM is held open beyond the wait of the reader's call to the store.
const POLL_MARGIN: Duration = Duration::from_millis(300);
/// Time that all VMs of a fleet need to register when it starts for the first time.
const BOOTSTRAP_DELAY: Duration = Duration::from_secs(1);
/// Idle timeout of a caller's connection; longer than any limit that operators set.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a stopping VM still accepts connections, to serve callers that use an outdated
/// directory response.
const LINGER: Duration = Duration::from_millis(2_500);
/// Part of the time for a stop in which connections are accepted at most; the rest is for requests
/// to end.
const LINGER_SHARE: f64 = 0.4;
/// Time reserved before SIGKILL for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the settings file is reloaded without a SIGHUP.
const RELOAD_PERIOD: Duration = Duration::from_secs(10);
/// Delay before a failed registration is retried.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(700);

const HELP: &str = "\
Runs an entry VM on the users' platform until SIGTERM or SIGINT, then drains it:
its running requests finish.

Usage: ragwortswitch router [FILE]

FILE holds process settings in JSON with comments; without it, the variable
RAGWORTSWITCH_SETTINGS names the file.
";

/// Options of the command.
#[derive(Debug)]
pub(crate) struct RouterOptions {
    pub(crate) settings: PathBuf,
}

impl RouterOptions {
    pub(crate) fn parse(parser: &mut Parser) -> Result<Self, EarlyExit> {
        let mut common = CommonOptions::default();
        let mut settings = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        while let Some(argument) = common.next(parser, HELP)? {
            match argument {
                Argument::Option(name) => return Err(unknown_option(&name)),
                Argument::Value(file) if !file.is_empty() => settings = Some(file.into()),
                Argument::Value(value) => return Err(unexpected_value(value)),
            }
        }
        let settings = settings.ok_or("name a settings file, or set RAGWORTSWITCH_SETTINGS")?;
        Ok(Self { settings })
    }
}

/// Runs an entry VM until SIGTERM or SIGINT, then drains it.
pub(crate) async fn run_router(path: &Path) -> Result<(), Box<dyn Error>> {
    // Signal handlers are installed first, as a signal before that terminates the process.
    let (mut stop, hangup) = (StopSignals::new()?, signal(SignalKind::hangup())?);
    let settings = RouterSettings::read(path)?;
    let level = settings.log_level.as_deref().and_then(|l| Level::from_str(l).ok());
    let log = open_log(LogFormat::JsonOut, level.unwrap_or(Level::Info));
    let incarnation = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_millis();
    let (vm, state) = Vm::join();
    let pool = ConnectionPool::new();
    let (meter, aggregator) = StatsdMeter::in_process();
    let traces = settings.traces.as_ref();
    let tracer = traces.map(|t| OtelTracer::open(settings.name.as_str(), &t.output, t.ratio));
    let tracer = tracer.transpose()?.map(Arc::new);
    let parts = RouterParts {
        log: log.clone(),
        ports: RouterPorts {
            meter: Arc::new(meter),
            targets: Arc::new(PlatformTargets::new(HttpTargets::new(Arc::clone(&pool)))),
            tracer: match &tracer {
                Some(tracer) => Arc::clone(tracer) as _,
                None => Arc::new(NoTracer),
            },
        },
        rules: settings.rules(),
        vm: settings.vm(u64::try_from(incarnation)?),
        zones: settings.zones.clone(),
    };
    let router = Arc::new(Router::new(parts, state.clone()));
    router.fleet().set_seeds(settings.seeds.iter().copied());

    let control = ListenerControl::new();
    listen(&settings, &router, &control).await?;
    let cache = ObjectCache::new();
    let sources = (Arc::clone(&router), Arc::clone(&cache));
    serve_metrics(&settings, sources, aggregator, control.clone()).await?;
    let _fleet = serve_fleet(Arc::clone(&router), Arc::clone(&cache), settings.peers).await?;
    info!(log, "vm: listening"; "name" => %settings.name, "callers" => %settings.callers);

    let client = StoreClient::new(settings.store);
    follow_store(&router, &cache, &client, &settings);
    let peers = Arc::new(RpcPeers::new(pool));
    let poll_wait = RelayTiming::within(settings.change_limits().shortest()).wait + POLL_MARGIN;
    let (polling, source) = (Arc::clone(&router), Arc::clone(&peers));
    tokio::spawn(poll_upstreams(polling, cache, source as _, poll_wait));
    tokio::spawn(send_hellos(Arc::clone(&router), peers, state));
    let registry = StoreVmRegistry::new(&client);
    let registration = tokio::spawn(register(Arc::clone(&router), registry.clone()));

    tokio::spawn(reload(Arc::clone(&router), path.to_owned(), hangup));

    let vm = vm.serve();
    stop.wait().await;
    info!(log, "vm: stopping"; "connections" => control.connections());
    registration.abort();
    router.set_stop(Instant::now() + settings.grace().saturating_sub(EXIT_MARGIN));
    router.fleet().leave();
    let vm = vm.drain();
    tokio::spawn(withdraw(Arc::clone(&router), registry));
    let linger = LINGER.min(settings.grace().mul_f64(LINGER_SHARE));
    sleep(linger).await;
    let remaining = settings.grace().saturating_sub(linger + EXIT_MARGIN);
    if !control.close(remaining).await {
        warn!(log, "vm: connections still open at the drain deadline";
            "connections" => control.connections());
    }
    vm.stop();
    if let Some(tracer) = tracer {
        // A task of this thread exports the spans, so the blocking shutdown must run on another one.
        let closed = tokio::task::spawn_blocking(move || tracer.close());
        if !matches!(timeout(EXIT_MARGIN / 2, closed).await, Ok(Ok(Ok(())))) {
            warn!(log, "vm: spans not exported before exit");
        }
    }
    info!(log, "vm: stopped");
    Ok(())
}

/// Starts the listeners for callers, the directory and the readiness check.
async fn listen(
    settings: &RouterSettings,
    router: &Arc<Router>,
    control: &ListenerControl,
) -> io::Result<()> {
    let limits = ListenerLimits { head_timeout: CALLER_IDLE_TIMEOUT, ..ListenerLimits::default() };
    let callers = limits.connections(settings.max_connections());
    let callers = Listener::bind(settings.callers, callers).await?.with_control(control);
    let callers = callers.with_request_id(REQUEST_ID);
    let directory = Listener::bind(settings.directory, limits).await?;
    let ready = Listener::bind(settings.ready, limits).await?;
    let r = Arc::clone(router);
    let callers = callers.with_early_start(Arc::new(move |head| may_start_early(&r, head)));
    let r = Arc::clone(router);
    let callers = callers.with_observer(Arc::new(move |event| log_listener_event(&r, event)));
    let r = Arc::clone(router);
    tokio::spawn(callers.serve(move |request, _| {
        let router = Arc::clone(&r);
        async move { handle_request(&router, request).await }
    }));
    let r = Arc::clone(router);
    tokio::spawn(directory.serve(move |request, _| {
        let response = handle_directory(&r, &request);
        async move { response }
    }));
    let r = Arc::clone(router);
    tokio::spawn(ready.serve(move |request, _| {
        let response = handle_ready(&r, &request);
        async move { response }
    }));
    Ok(())
}

/// Starts the metrics listener; gauges are updated on each request.
async fn serve_metrics(
    settings: &RouterSettings,
    (router, cache): (Arc<Router>, Arc<ObjectCache>),
    aggregator: MetricAggregator,
    control: ListenerControl,
) -> io::Result<()> {
    let listener = Listener::bind(settings.metrics, ListenerLimits::default()).await?;
    tokio::spawn(listener.serve(move |request, _| {
        let version = router.routes().map_or(0, |table| table.version);
        let meter = &router.ports().meter;
        meter.gauge("callers.connections", control.connections() as u64);
        meter.gauge("fleet.known", router.fleet().known().len() as u64);
        meter.gauge("settings.version", version);
        meter.gauge("targets.known", router.target_table().names().len() as u64);
        for (kind, Freshness { age, relayed, revision }) in cache.freshness() {
            let label = kind_label(&kind);
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            meter.gauge(&format!("known.{label}.age_ms"), age);
            meter.gauge(&format!("known.{label}.relayed"), relayed.into());
            meter.gauge(&format!("known.{label}.revision"), revision);
        }
        let response = handle_metrics(&aggregator, &request);
        async move { response }
    }));
    Ok(())
}

/// Starts a task for each registry of the store, which applies changes to the router.
fn follow_store(
    router: &Arc<Router>,
    cache: &Arc<ObjectCache>,
    client: &StoreClient,
    settings: &RouterSettings,
) {
    let recoveries = StoreRecoveries::new();
    let gate = Arc::new(StoreGate::new(&settings.name));
    let source = |limit| {
        let (router, cache) = (Arc::clone(router), Arc::clone(cache));
        let timing = RelayTiming::within(limit);
        let source = RelayedSource::new(router, cache, timing, Arc::new(client.clone()));
        source.with_gate(Arc::clone(&gate))
    };
    // Confirmations of all kinds pass down the tree together, so they follow the shortest limit.
    let limits = settings.change_limits();
    let limit = limits.shortest();
    let relayed = || Arc::new(source(limit).with_start_wait(RelayedSource::START_WAIT));
    let registry = configuration_registry(relayed());
    let follower = ConfigurationFollower::new(Arc::clone(router));
    follow(router, registry, follower, limits.configuration(), &recoveries);
    let registry = evacuation_registry(relayed());
    let follower = EvacuationFollower::new(Arc::clone(router));
    follow(router, registry, follower, limits.evacuations(), &recoveries);
    let registry = target_registry(relayed());
    let follower = TargetFollower::new(Arc::clone(router));
    follow(router, registry, follower, limits.targets(), &recoveries);
    let registry = vm_registry(Arc::new(source(VM_LIMIT)));
    let (router, is_first) = (Arc::clone(router), settings.bootstrap);
    tokio::spawn(async move {
        if is_first {
            sleep(BOOTSTRAP_DELAY).await;
        }
        follow(&router, registry, VmFollower::new(Arc::clone(&router)), VM_TIMING, &recoveries);
    });
}

fn follow<T: Send + 'static>(
    router: &Arc<Router>,
    registry: impl Registry<T> + 'static,
    follower: impl Follower<T> + 'static,
    timing: FollowTiming,
    recoveries: &StoreRecoveries,
) {
    let log = router.log().clone();
    let (registry, follower) = (Arc::new(registry), Arc::new(follower));
    tokio::spawn(follow_registry(registry, follower, timing, recoveries.clone(), log));
}

/// Reloads the settings file on SIGHUP or after [`RELOAD_PERIOD`] without one, as the file may
/// change without a signal. Only changes of the seeds take effect while the process runs.
async fn reload(router: Arc<Router>, path: PathBuf, mut hangup: Signal) {
    loop {
        let by_signal = timeout(RELOAD_PERIOD, hangup.recv()).await.is_ok();
        match RouterSettings::read(&path) {
            Ok(settings) => router.fleet().set_seeds(settings.seeds),
            Err(error) => {
                warn!(router.log(), "settings: file can't be read; keeping the previous seeds";
                    "error" => %error);
            }
        }
        if by_signal {
            info!(router.log(), "settings: file read again");
        }
    }
}

/// Registers this VM in the store, and retries until it succeeds.
async fn register(router: Arc<Router>, registry: StoreVmRegistry) {
    while let Err(error) = registry.publish(router.fleet().vm()).await {
        info!(router.log(), "fleet: registration failed"; "error" => %error);
        sleep(REGISTRATION_RETRY_DELAY).await;
    }
    info!(router.log(), "fleet: registered");
}

/// Removes this VM's registration from the store.
async fn withdraw(router: Arc<Router>, registry: StoreVmRegistry) {
    if let Err(error) = registry.withdraw(router.fleet().vm()).await {
        // Peers also detect that this VM is gone when its messages stop.
        info!(router.log(), "fleet: registration not removed"; "error" => %error);
    }
}

/// Streams of the signals that stop the process.
struct StopSignals {
    interrupt: Signal,
    terminate: Signal,
}

impl StopSignals {
    fn new() -> io::Result<Self> {
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { interrupt, terminate: signal(SignalKind::terminate())? })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.diagnostics.StateEndpoint;
import org.cypressweir.common.metrics.MetricsEndpoint;
import org.cypressweir.common.metrics.MetricsPage;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.settings.SettingsLoader;
import org.cypressweir.common.settings.SettingsWatcher;
import org.cypressweir.common.transport.LogConfiguration;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.controlplane.configuration.ClientLimits;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.upstream.UpstreamDispatcher;
import org.cypressweir.dataplane.http.upstream.UpstreamOptions;
import org.jboss.logging.Logger;

/**
 * The data-plane process beside one application instance: assembles its parts, opens its sockets, starts its
 * {@link PeriodicTasks} and shuts it down on SIGTERM. All of its parts run on one event loop, except for the parsing of
 * configurations. {@link #run} blocks its thread until the process ends.
 */
public final class Proxy {

    private static final Logger LOG = Logger.getLogger(Proxy.class);
    private static final RequestLimits CONTROL_LIMITS = new RequestLimits(16 * 1024, 64 * 1024, 5_000, 60_000);
    private static final int TICKS_PER_TOKEN_SURPLUS = 4;
    private static final int TICKS_PER_ROLLOUT_REPORT = 6;
    private static final int TICKS_PER_DEMAND_PUBLICATION = 20;
    private static final int TICKS_PER_SETTINGS_CHECK = 20;
    /** The registration is repeated so that a controller that missed an update gets it. */
    private static final int TICKS_PER_REGISTRATION = 40;
    /** How many requests in flight with one id a trace shows operators at most. */
    private static final int MAX_TRACES_IN_FLIGHT = 16;

    private static final long ENDPOINT_RETENTION_MICROS = 3_000_000;
    private static final long DEFAULT_GRACE_PERIOD_MICROS = 6_000_000;

    /** Replaced on the event loop. */
    private NodeSettings settings;

    private final SettingsWatcher settingsWatcher;
    private final MonotonicClock clock = new MonotonicClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final PeerTransport transport = new PeerTransport(group, clock);
    private final String ownAddress;
    private final EndpointDirectory directory = new EndpointDirectory(ENDPOINT_RETENTION_MICROS);
    private final ConfigurationSubscriber configuration = new ConfigurationSubscriber();
    private final ReadinessGate readinessGate = new ReadinessGate();
    private final QuotaExchange quotas;
    private final RolloutRouting rollouts = new RolloutRouting();
    private final RequestTrace requestTrace = new RequestTrace(clock, RequestTrace.DEFAULT_CAPACITY);
    private final ApplicationLifecycleHandler application;
    private final UpstreamDispatcher dispatcher;
    private final PeerRequestReceiver requestReceiver;
    private final PeerConnections peers;
    private final ServiceHandlers handlers;
    private final EndpointLists endpointLists;
    private final RoutingTableLoader routingTables;
    private final DispatcherConfigurator dispatcherConfigurator;
    private final ReadinessEndpoint readinessEndpoint;
    private final ControllerClient controllers;
    private final OutboundListener outboundListener;
    private final Object outboundLock = new Object();
    /** Null before it is opened; guarded by {@link #outboundLock}, as is {@link #isShuttingDown}. */
    private HttpListener outbound;

    private boolean isShuttingDown;

    private Proxy(NodeSettings settings, SettingsWatcher settingsWatcher) {
        this.settings = settings;
        this.settingsWatcher = settingsWatcher;
        ownAddress = settings.peerAddress(settings.ip());
        long incarnation = System.currentTimeMillis() * 1000;
        BackgroundTask background = new BackgroundTask(newWorker(), loop);
        application = new ApplicationLifecycleHandler(clock, settings, incarnation, this::instanceChanged);
        dispatcher = new UpstreamDispatcher(
                loop, Addresses.parse(settings.application()), clock, UpstreamOptions.defaults(), LOG::info);
        requestReceiver = new PeerRequestReceiver(clock, dispatcher, application::registration);
        peers = newPeerConnections(incarnation);
        handlers = newServiceHandlers();
        endpointLists = new EndpointLists(directory, application::registration, peers, handlers, rollouts);
        routingTables = new RoutingTableLoader(background, this::routingTableChanged);
        dispatcherConfigurator = new DispatcherConfigurator(dispatcher, application, routingTables, this::settings);
        readinessEndpoint = new ReadinessEndpoint(clock, this::settings, readinessGate, routingTables, handlers);
        quotas = new QuotaExchange(clock, settings.name(), this::controllers, new SplittableRandom(incarnation));
        controllers = newControllerClient(background);
        outboundListener = new OutboundListener(
                clock,
                routingTables::current,
                () -> this.settings.service(),
                quotas.gate(),
                handlers,
                rollouts,
                requestTrace);
    }

    private PeerConnections newPeerConnections(long incarnation) {
        return new PeerConnections(
                transport,
                clock,
                settings.name(),
                ownAddress,
                incarnation,
                dispatcher,
                directory,
                this::endpointsChanged);
    }

    private ServiceHandlers newServiceHandlers() {
        return new ServiceHandlers(
                loop,
                clock,
                peers.forwarder(),
                this::settings,
                List.copyOf(settings.zones().keySet()),
                directory::size,
                this::endpointsChanged,
                rollouts::observer);
    }

    private ControllerClient newControllerClient(BackgroundTask background) {
        return new ControllerClient(
                transport,
                clock,
                settings.name(),
                application::registration,
                directory,
                configuration,
                readinessGate,
                quotas,
                background,
                this::configurationChanged);
    }

    private static ExecutorService newWorker() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "background");
            thread.setDaemon(true);
            return thread;
        });
    }

    /** Runs until the process is told to end; returns its exit status, which is above 0 if it couldn't start. */
    public static int run(Map<String, String> env, PrintStream err) {
        LogConfiguration.install(err, false);
        return SettingsLoader.run(
                "pilot", env, err, Proxy::missingSetting, (settings, watcher) -> new Proxy(settings, watcher).serve());
    }

    private static Option<String> missingSetting(NodeSettings settings) {
        for (String listener : List.of("outbound", "readiness", "controlPlane")) {
            if (!settings.listen().containsKey(listener) || settings.application() == null) {
                return Option.some("localNode.application and network.listenAddresses." + listener);
            }
        }
        return Option.none();
    }

    private NodeSettings settings() {
        return settings;
    }

    private ControllerClient controllers() {
        return controllers;
    }

    // ---- Sockets

    private void serve() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        SettingsLoader.onReloadSignal(() -> loop.execute(() -> settingsWatcher.poll(true, this::updateSettings)));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(ended), "shutdown"));
        StateEndpoint stateEndpoint = new StateEndpoint(application, newStateReporter());
        listen("controlPlane", () -> CONTROL_LIMITS, stateEndpoint);
        transport.listen(Addresses.parse(ownAddress), requestReceiver);
        loop.execute(() -> controllers.updateSeeds(settings.seedPeerAddresses()));
        listen("readiness", () -> CONTROL_LIMITS, readinessEndpoint);
        openOutbound();
        MetricsEndpoint.open(group, settings.ip(), clock, this::collectMetrics);
        startPeriodicTasks();
        LOG.info("Proxy started: name=" + settings.name());
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Opens the listener for clients, unless shutdown began while the process was starting. */
    private void openOutbound() throws IOException {
        synchronized (outboundLock) {
            if (!isShuttingDown) {
                outbound = listen("outbound", this::clientLimits, outboundListener);
            }
        }
    }

    private HttpListener listen(String name, Supplier<RequestLimits> limits, RequestHandler handler)
            throws IOException {
        return HttpListener.open(group, Addresses.parse(settings.listen().get(name)), limits, clock, handler);
    }

    private RequestLimits clientLimits() {
        ClientLimits limits = routingTables.current().limits();
        return new RequestLimits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMicros() / 1000,
                limits.idleTimeoutMicros() / 1000);
    }

    // ---- Changes

    private void endpointsChanged() {
        endpointLists.markStale();
    }

    private void configurationChanged() {
        routingTables.load(configuration.version(), configuration.configuration());
    }

    private void routingTableChanged() {
        quotas.updateLimits(routingTables.current().configuration());
        rollouts.update(routingTables.current().configuration());
        endpointsChanged();
        dispatcherConfigurator.limitConnections();
    }

    private void instanceChanged(ApplicationInstance instance) {
        dispatcherConfigurator.updateInstance(instance);
        directory.updateDirect(application.registration());
        requestReceiver.publishRegistration();
        controllers.publishRegistration();
        endpointsChanged();
    }

    private void updateSettings(NodeSettings next) {
        settings = next;
        application.updateSettings(next);
        controllers.updateSeeds(next.seedPeerAddresses());
        instanceChanged(application.instance());
    }

    // ---- Periodic tasks

    private void startPeriodicTasks() {
        PeriodicTasks tasks = new PeriodicTasks(loop, clock);
        tasks.everyTick(now -> application.tick());
        tasks.everyTick(dispatcherConfigurator::stopDispatchToDrainedInstance);
        tasks.everyTick(now -> controllers.tick());
        tasks.everyTick(now -> readinessEndpoint.checkStart());
        tasks.everyTick(now -> peers.tick());
        tasks.everyTick(endpointLists::refresh);
        tasks.everyTick(quotas::tick);
        tasks.every(TICKS_PER_TOKEN_SURPLUS, quotas::giveSurplus);
        tasks.every(TICKS_PER_DEMAND_PUBLICATION, this::publishDemand);
        tasks.every(TICKS_PER_ROLLOUT_REPORT, this::publishRollouts);
        tasks.every(TICKS_PER_REGISTRATION, controllers::publishRegistration);
        tasks.every(TICKS_PER_SETTINGS_CHECK, () -> settingsWatcher.poll(false, this::updateSettings));
        tasks.start();
    }

    private void publishRollouts() {
        rollouts.reports(handlers).forEach(controllers::publishRollout);
    }

    private void publishDemand() {
        quotas.countProxies(directory.all());
        controllers.publishDemand();
    }

    // ---- State

    private ProxyStateReporter newStateReporter() {
        return new ProxyStateReporter(
                this::status, requestTrace, handlers, () -> new RequestTrace(clock, MAX_TRACES_IN_FLIGHT));
    }

    private ProxyStatus status() {
        ProxyStatus status = new ProxyStatus(
                clock.getAsLong(), settings.name(), settings.controlAddress(), ownAddress, routingTables.current());
        status.putControllers(controllers);
        status.putProxies(directory);
        status.putPeers(peers);
        status.putServices(directory, application.registration(), peers);
        status.putOwnInstance(application.registration(), dispatcher.load());
        status.putRequests(
                outbound == null ? 0 : outbound.requestsOpen(),
                peers.forwarder().inFlightCount(),
                handlers.tenantHandlers());
        status.putLocalResponses(outboundListener.rejectionCounts(), handlers.tenantHandlers());
        status.putTenants(quotas.demand());
        return status;
    }

    private void collectMetrics(MetricsPage page) {
        ProxyMetrics metrics = new ProxyMetrics(page);
        handlers.tenantHandlers().forEach((service, handler) -> metrics.addService(service, false, handler));
        handlers.internalHandlers().forEach((service, handler) -> metrics.addService(service, true, handler));
        metrics.addRejections(outboundListener.rejectionCounts());
        metrics.addQuotas(quotas.usage());
        metrics.addUpstream(dispatcher.load(), peers.forwarder().inFlightCount());
        metrics.addControlPlane(
                controllers.controllers(),
                directory.size(),
                routingTables.current().configuration().size());
    }

    // ---- Shutdown

    /** SIGTERM: requests in flight are answered, then connections are closed ({@link GracefulShutdown}). */
    private void shutDown(CountDownLatch ended) {
        synchronized (outboundLock) {
            isShuttingDown = true;
        }
        PeerForwarder forwarder = peers.forwarder();
        new GracefulShutdown(loop, clock, () -> outbound, () -> dispatcher.isIdle() && forwarder.inFlightCount() == 0)
                .run(settings.durationMicros("gracePeriod", DEFAULT_GRACE_PERIOD_MICROS), this::startShutdown);
        ended.countDown();
    }

    private void startShutdown() {
        LOG.info("Proxy shutting down: name=" + settings.name());
        readinessEndpoint.startShutdown();
        application.startShutdown();
        dispatcher.drain();
        peers.forwarder().startShutdown();
    }
}

package org.cypressweir.controlplane.controller;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
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
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.jboss.logging.Logger;

/**
 * The controller process: wires the parts of the control plane together, drives their timers, and shuts them down
 * when the process is terminated. All state belongs to one event loop; blocking work runs on a single disk thread.
 */
public final class Controller {

    private static final Logger LOG = Logger.getLogger(Controller.class);
    private static final RequestLimits OPERATOR_LIMITS = new RequestLimits(64 * 1024, 16 * 1024 * 1024, 10_000, 60_000);
    private static final String PROGRAM = "controller";
    private static final String CONTROL_PLANE_LISTENER = "controlPlane";
    private static final int MICROS_PER_MILLI = 1_000;
    private static final int TICK_MILLIS = 50;
    private static final int TICKS_PER_DEMAND_UPDATE = 4;
    private static final int TICKS_PER_SETTINGS_CHECK = 20;
    private static final int TICKS_PER_ROLLOUT_STEP = 4;
    /** Longest wait for the handover after SIGTERM. */
    private static final int MAX_HANDOVER_MILLIS = 1_500;

    private static final int MIN_VOTERS = 3;

    private final NodeSettings settings;
    private final SettingsWatcher settingsWatcher;
    private final MonotonicClock clock = new MonotonicClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final ExecutorService diskExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final PeerTransport transport = new PeerTransport(group, clock);
    private final ControllerIdentity identity;
    private final ControllerStatistics statistics = new ControllerStatistics();
    private final ReplicaStateLog stateLog = new ReplicaStateLog();
    private final RolloutDriver rollouts;
    private final UpdatePublisher publisher;
    private final ControllerPeers peers;
    /** Null until the store is open. */
    private volatile ReplicaDriver driver;

    private List<String> seeds;
    private long ticks;
    /** Counted down once {@link ConsensusReplica#handedOver()} is true; null before the shutdown. */
    private CountDownLatch handover;

    private Controller(NodeSettings settings, SettingsWatcher settingsWatcher) {
        this.settings = settings;
        this.settingsWatcher = settingsWatcher;
        String peerAddress = settings.peerAddress(settings.ip());
        long incarnation = System.currentTimeMillis() * MICROS_PER_MILLI;
        identity = new ControllerIdentity(settings.name(), settings.controlAddress(), peerAddress, incarnation);
        rollouts = new RolloutDriver(clock, () -> driver);
        publisher = new UpdatePublisher(
                clock,
                incarnation,
                settings.controlAddress(),
                this::confirmedAge,
                new QuotaCoordinator(settings.number("quotaSlack", 0)),
                rollouts);
        peers = new ControllerPeers(transport, clock, peerAddress, this::hello);
        seeds = List.copyOf(settings.seedPeerAddresses());
    }

    /** Runs until the process is terminated; returns a status above 0 if it cannot start. */
    public static int run(Map<String, String> env, PrintStream err) {
        LogConfiguration.install(err, false);
        return SettingsLoader.run(
                PROGRAM,
                env,
                err,
                settings -> Option.when(
                        settings.dataDirectory() == null || !settings.listen().containsKey(CONTROL_PLANE_LISTENER),
                        "localNode.dataDirectory and network.listenAddresses.controlPlane"),
                (settings, settingsWatcher) -> new Controller(settings, settingsWatcher).serve());
    }

    private void serve() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        SettingsLoader.onReloadSignal(() -> checkSettings(true));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(ended), "end"));
        new StoreOpener(Path.of(settings.dataDirectory()), diskExecutor, eventLoop, this::startReplica).start();
        transport.listen(
                Addresses.parse(identity.peerAddress()),
                new InboundMessageDispatcher(peers, publisher, this::receivedByReplica));
        openOperatorApi();
        MetricsEndpoint.open(group, settings.ip(), clock, this::collectMetrics);
        LOG.info("controller started name=" + settings.name());
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void openOperatorApi() throws IOException {
        OperatorApiHandler operatorApi = new OperatorApiHandler(() -> driver, this::redirectTarget, clock, statistics);
        HttpListener.open(
                group,
                Addresses.parse(settings.listen().get(CONTROL_PLANE_LISTENER)),
                () -> OPERATOR_LIMITS,
                clock,
                new StateEndpoint(operatorApi, this::status));
    }

    private Map<String, Object> status(boolean includeItems) {
        ConsensusReplica replica = driver == null ? null : driver.replica();
        return ControllerStatus.of(clock.getAsLong(), identity, peers.statuses(), replica, publisher, includeItems);
    }

    private void collectMetrics(MetricsPage page) {
        ControllerMetrics metrics = new ControllerMetrics(page);
        metrics.addCalls(statistics);
        metrics.addPublisher(publisher);
        if (driver != null) {
            metrics.addReplica(driver.replica(), clock.getAsLong());
        }
    }

    private Map<String, Object> hello() {
        return ControllerMessages.hello(
                identity.peerAddress(), driver.replica().replicaKey(), identity.controlAddress());
    }

    private long confirmedAge() {
        return driver == null ? -1 : driver.replica().confirmedAge(clock.getAsLong());
    }

    private void startReplica(StoreOpener.OpenedStore opened) {
        boolean initialStart = settings.initialStart() && !opened.store().damaged();
        ConsensusReplica replica = new ConsensusReplica(
                ConsensusOptions.defaults(),
                identity.peerAddress(),
                seeds,
                voterCount(),
                initialStart,
                opened.state(),
                identity.incarnation(),
                new SplittableRandom(new SecureRandom().nextLong()),
                clock.getAsLong());
        ReplicaDriver newDriver = new ReplicaDriver(
                replica,
                opened.store(),
                diskExecutor,
                eventLoop,
                clock,
                peers::send,
                commit -> {
                    publisher.committed(commit.number(), commit.configuration(), commit.voters());
                    rollouts.committed(commit.configuration());
                },
                statistics);
        driver = newDriver;
        LOG.info("store opened accepted="
                + (opened.state() == null ? "none" : opened.state().accepted()));
        connectPeers();
        newDriver.start();
        eventLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The number of voters of which a majority is left after the configured number of machine failures. */
    private int voterCount() {
        int machineFailures = settings.machineFailures();
        return Math.max(MIN_VOTERS, machineFailures < 0 ? seeds.size() : 2 * machineFailures + 1);
    }

    private void tick() {
        try {
            ticks++;
            connectPeers();
            peers.tick();
            driver.tick();
            stateLog.update(driver.replica(), clock.getAsLong());
            checkHandover();
            publisher.tick();
            if (ticks % TICKS_PER_ROLLOUT_STEP == 0
                    && driver.replica().isVoter()
                    && driver.replica().inContact(clock.getAsLong())) {
                rollouts.tick(Set.copyOf(publisher.registry().names()));
            }
            if (ticks % TICKS_PER_DEMAND_UPDATE == 0) {
                publisher.publishDemand();
            }
            if (ticks % TICKS_PER_SETTINGS_CHECK == 0) {
                checkSettings(false);
            }
        } catch (RuntimeException | Error e) {
            // If it propagated, the timer would stop and with it this controller's part in the protocol.
            LOG.error("tick failed", e);
        }
    }

    private void connectPeers() {
        peers.connect(seeds, driver.replica().voters());
    }

    /** Reads the settings file on the disk thread, if it has changed. */
    private void checkSettings(boolean signalled) {
        diskExecutor.execute(() -> settingsWatcher.poll(
                signalled, changed -> eventLoop.execute(() -> updateSeeds(List.copyOf(changed.seedPeerAddresses())))));
    }

    private void updateSeeds(List<String> next) {
        seeds = next;
        if (driver != null) {
            driver.replica().updateSeeds(next);
        }
    }

    private void receivedByReplica(String sender, Map<String, Object> message) {
        if (driver != null) {
            driver.received(sender, message);
            checkHandover();
        }
    }

    /** The address that operators are redirected to, if this controller is not a voter and a voter is reachable. */
    private Option<String> redirectTarget() {
        ConsensusReplica replica = driver.replica();
        if (replica.isVoter() || replica.isBlank()) {
            return Option.none();
        }
        List<String> voters = peers.reachableControlAddresses(replica.voters());
        return voters.isEmpty() ? Option.none() : Option.some(voters.get((int) (ticks % voters.size())));
    }

    /**
     * Notifies the other controllers of the shutdown and waits until they have on disk all that is committed here and,
     * if a standby waits to replace this replica, until the replacement is committed. Blocks: not for the event loop.
     */
    private void shutDown(CountDownLatch ended) {
        CountDownLatch handedOver = new CountDownLatch(1);
        eventLoop.execute(() -> beginShutdown(handedOver));
        try {
            // Whether the handover was in time cannot be logged: the log is closed by then.
            handedOver.await(MAX_HANDOVER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ended.countDown();
    }

    private void beginShutdown(CountDownLatch handedOver) {
        LOG.info("controller shutting down name=" + settings.name());
        handover = handedOver;
        if (driver == null) {
            handedOver.countDown();
        } else {
            driver.shutDown();
            checkHandover();
        }
    }

    private void checkHandover() {
        if (handover != null && driver.replica().handedOver()) {
            handover.countDown();
        }
    }
}

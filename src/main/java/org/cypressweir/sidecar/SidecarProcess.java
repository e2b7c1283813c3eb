package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.common.util.ReloadSignal;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;

/**
 * The process that runs one sidecar: its startup, signal handling and exit status.
 *
 * <p>Startup runs on the main thread in this order: read the files, create the sidecar on its event loop, handle SIGHUP
 * and SIGTERM, join the fleet, open the admin listener, warm up, accept clients. The main thread then waits until the
 * sidecar has stopped.
 */
public final class SidecarProcess {

    private static final int STATUS_ENDED = 0;
    private static final int STATUS_FAILED = 1;
    private static final int STATUS_INVALID_CONFIGURATION = 2;

    private static final int WARM_UP_REQUESTS = 250;
    private static final long WARM_UP_MILLIS = 1_500;

    private final Map<String, String> environment;
    private final SidecarConfiguration configuration;
    private final StartupPlan plan;
    /** The client listening socket inherited from the platform; null if the process opens its own. */
    private final ServerSocketChannel inherited;

    private final PrintStream log;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicBoolean rejectedByFleet = new AtomicBoolean();

    private SidecarProcess(
            Map<String, String> environment,
            SidecarConfiguration configuration,
            StartupPlan plan,
            ServerSocketChannel inherited,
            PrintStream log) {
        this.environment = environment;
        this.configuration = configuration;
        this.plan = plan;
        this.inherited = inherited;
        this.log = log;
    }

    /** Runs a sidecar until it is told to stop, and returns the exit status. */
    public static int serve(Map<String, String> environment, PrintStream log) {
        return serve(environment, null, log, null);
    }

    /** The same, with an operators' file and a way to join a fleet; either may be null. */
    public static int serve(
            Map<String, String> environment,
            Path operators,
            PrintStream errors,
            FleetCoordination.Factory coordinationMaker) {
        String descriptor = environment.get("LB_SOCKET_FD");
        boolean inheritsSocket = InheritedSocket.isConfigured(descriptor);
        PrintStream log = inheritsSocket ? InheritedSocket.reopenLog(errors) : errors;
        SidecarProcess process;
        try {
            SidecarConfiguration configuration = SidecarConfiguration.read(environment);
            StartupPlan plan = operators == null
                    ? StartupPlan.plain(configuration)
                    : OperatorFileLayout.load(operators, configuration);
            ServerSocketChannel inherited = inheritsSocket ? InheritedSocket.take(descriptor) : null;
            process = new SidecarProcess(environment, configuration, plan, inherited, log);
        } catch (IOException e) {
            log.println(ConfigurationReloader.errorText(e));
            return STATUS_INVALID_CONFIGURATION;
        }
        return process.run(coordinationMaker);
    }

    private int run(FleetCoordination.Factory coordinationMaker) {
        ProcessLock processLock = inherited == null ? null : ProcessLock.in(environment.get("TMPDIR"));
        boolean isAlone = processLock == null || processLock.tryAcquire();
        try {
            Sidecar sidecar = create(isAlone ? configuration : configuration.withReducedDescriptors());
            if (!isAlone) {
                processLock.runWhenAcquired(() -> loop.execute(() -> sidecar.raiseConnectionLimits(configuration)));
            }
            handleReloadSignal(sidecar);
            Thread shutdownHook = addShutdownHook(sidecar);
            if (plan.membership() != null) {
                joinFleet(sidecar, coordinationMaker, shutdownHook);
            }
            AdminListener admin = configuration.adminAddress() == null
                    ? null
                    : sidecar.openAdminListener(configuration.adminAddress()).get();
            warmUp(sidecar, admin);
            openToClients(sidecar, shutdownHook);
            ended.await();
            if (rejectedByFleet.get()) {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
                return STATUS_INVALID_CONFIGURATION;
            }
            return STATUS_ENDED;
        } catch (InterruptedException e) {
            return STATUS_FAILED;
        } catch (ExecutionException | ReflectiveOperationException e) {
            log.println("cypressweir-sidecar: cannot start: " + e.getCause());
            return STATUS_FAILED;
        }
    }

    private Sidecar create(SidecarConfiguration bounded) throws InterruptedException, ExecutionException {
        return loop.submit(() -> new Sidecar(loop, bounded, log, SubsetLoadBalancer::new, plan.layouts()))
                .get();
    }

    private void handleReloadSignal(Sidecar sidecar) throws ReflectiveOperationException {
        // A single thread runs the reloads in order, so the file read last is the one in force.
        ExecutorService reloads = Executors.newSingleThreadExecutor(new DefaultThreadFactory("reading", true));
        ReloadSignal.handle(() -> reloads.execute(() -> sidecar.reloader().reloadAndWait(environment)));
        if (ReloadSignal.isIgnored()) {
            log.println("cypressweir-sidecar: SIGHUP is ignored by what started this process, and so by it: files"
                    + " are not read again; 'env --default-signal=HUP COMMAND' undoes that");
        }
    }

    private Thread addShutdownHook(Sidecar sidecar) {
        Thread hook = new Thread(() -> {
            loop.execute(() -> sidecar.stop(ended::countDown));
            awaitEnd();
            // Without this the JVM's exit status would be that of the signal.
            Runtime.getRuntime().halt(STATUS_ENDED);
        });
        Runtime.getRuntime().addShutdownHook(hook);
        return hook;
    }

    private void awaitEnd() {
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void joinFleet(Sidecar sidecar, FleetCoordination.Factory coordinationMaker, Thread shutdownHook)
            throws InterruptedException, ExecutionException {
        boolean socketMayBeHeld = inherited != null;
        try {
            loop.submit(() -> sidecar.join(
                            coordinationMaker,
                            plan.membership(),
                            socketMayBeHeld,
                            reason -> rejectByFleet(sidecar, reason)))
                    .get()
                    .get();
        } catch (ExecutionException e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    private void rejectByFleet(Sidecar sidecar, String reason) {
        rejectedByFleet.set(true);
        log.println("cypressweir-sidecar: " + reason);
        sidecar.stop(ended::countDown);
    }

    /**
     * Warms up on an address that the sidecar will listen on.
     *
     * <p>If other processes also listen on the client socket, warm-up requests there would reach those processes, and
     * clients would reach the warm-up, which cannot serve them. In that case the warm-up uses the admin listener's
     * address.
     */
    private void warmUp(Sidecar sidecar, AdminListener admin) throws InterruptedException {
        if (inherited == null) {
            WarmUp.run(configuration, plan.warmUpAddress(), WARM_UP_REQUESTS, WARM_UP_MILLIS);
            return;
        }
        loop.execute(() -> sidecar.inherit(inherited));
        if (admin != null) {
            WarmUp.run(configuration, new AdminListenerStage(loop, admin), WARM_UP_REQUESTS, WARM_UP_MILLIS);
        }
    }

    private void openToClients(Sidecar sidecar, Thread shutdownHook) throws InterruptedException, ExecutionException {
        try {
            sidecar.start().get();
        } catch (ExecutionException e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    /** Runs the warm-up through the admin listener's address. */
    private record AdminListenerStage(EventLoop loop, AdminListener admin) implements WarmUp.Transport {
        @Override
        public CompletableFuture<InetSocketAddress> open(ClientListener to) {
            return CompletableFuture.supplyAsync(
                    () -> {
                        admin.setHttpHandler(to::adopt);
                        return admin.address();
                    },
                    loop);
        }

        @Override
        public void close() {
            loop.execute(() -> admin.setHttpHandler(null));
        }
    }
}

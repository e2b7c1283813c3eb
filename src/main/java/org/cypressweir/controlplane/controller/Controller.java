package org.cypressweir.controlplane.controller;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.diagnostics.StateEndpoint;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.settings.SettingsLoader;
import org.cypressweir.common.settings.SettingsWatcher;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.LogConfiguration;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ReplicaKey;
import org.cypressweir.controlplane.storage.Store;
import org.cypressweir.controlplane.storage.XodusStore;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.jboss.logging.Logger;

/** The harbour: puts the control plane together on a core machine. */
public final class Controller {

    private static final Logger LOG = Logger.getLogger(Controller.class);
    private static final PeerConnectionPool.Plan LINES =
            new PeerConnectionPool.Plan(400_000, 1_000_000, 4_000_000, 100_000, 400_000, 800);
    private static final RequestLimits OPERATORS = new RequestLimits(64 * 1024, 16 * 1024 * 1024, 10_000, 60_000);
    private static final int TICK_MILLIS = 50;
    private static final int OPEN_EVERY_MILLIS = 500;
    /** A part of the time that there is between the signal and the end. */
    private static final int LEAVE_MILLIS = 1_500;

    private static final int LEAST_VOTERS = 3;
    private static final int TICKS_A_TALLY = 4;
    private static final int TICKS_A_LOOK = 20;

    private final NodeSettings papers;
    private final SettingsWatcher file;
    private final MonotonicClock clock = new MonotonicClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    });
    private final PeerTransport wharf = new PeerTransport(group, clock);
    private final String own;
    private final long life = System.currentTimeMillis() * 1000;
    private final UpdatePublisher news;
    private final PeerConnectionPool others;
    private volatile ReplicaDriver keeping;
    /** Harbours that have a line here, whoever they are: one that asks to be let in is told the answer. */
    private final Map<PeerConnection, String> callers = new HashMap<>();
    /** Where other harbours are asked, as each has said; kept after its line has ended. */
    private final Map<String, String> controls = new HashMap<>();

    private List<String> seeds;
    private long ticks;
    /** Why the disk could not be opened, as it was logged last; of the disk's thread. */
    private String notOpen;
    /** To be told that all is handed over; null as long as this harbour does not leave. */
    private CountDownLatch handedOver;

    private Controller(NodeSettings papers, SettingsWatcher file) {
        this.papers = papers;
        this.file = file;
        own = papers.lines(papers.ip());
        news = new UpdatePublisher(clock, life, papers.control(), this::confirmedAge);
        seeds = List.copyOf(papers.seedLines());
        others = new PeerConnectionPool(
                wharf,
                clock,
                LINES,
                () -> JsonCodec.map(
                        "t",
                        "hello",
                        "kind",
                        "harbour",
                        "address",
                        own,
                        "member",
                        keeping.copies().own(),
                        "control",
                        papers.control()),
                new Others());
    }

    /** Runs until the process is ended; a status above 0 where it can't start. */
    public static int run(Map<String, String> env, PrintStream err) {
        LogConfiguration.open(err, false);
        return SettingsLoader.run(
                "harbour",
                env,
                err,
                papers -> Option.when(
                        papers.dataDirectory() == null || !papers.listen().containsKey("controlPlane"),
                        "localNode.dataDirectory and network.listenAddresses.controlPlane"),
                (papers, file) -> new Controller(papers, file).serve());
    }

    private void serve() throws IOException {
        CountDownLatch ended = new CountDownLatch(1);
        SettingsLoader.onHangup(() -> look(true));
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            leave();
                            ended.countDown();
                        },
                        "end"));
        disk.execute(this::openStore);
        wharf.listen(Addresses.parse(own), new Lines());
        HttpListener.open(
                group,
                Addresses.parse(papers.listen().get("controlPlane")),
                () -> OPERATORS,
                clock,
                new StateEndpoint(
                        new OperatorApiHandler(() -> keeping, this::voter, clock),
                        items -> ControllerStatus.of(
                                clock.getAsLong(),
                                papers.name(),
                                papers.control(),
                                own,
                                life,
                                harbours(),
                                keeping == null ? null : keeping.copies(),
                                news,
                                items)));
        LOG.info("Harbour " + papers.name() + " listens.");
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * The others are told that this harbour ends; it goes on until what stands here is known to be on their
     * disks, and where somebody waits to take its place, until that has been agreed. Not for the loop.
     */
    private void leave() {
        CountDownLatch handed = new CountDownLatch(1);
        loop.execute(() -> {
            handedOver = handed;
            if (keeping == null) {
                handed.countDown();
            } else {
                keeping.leave();
                lookAround();
            }
        });
        try {
            // Too late to log: that has ended already.
            handed.await(LEAVE_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void lookAround() {
        if (handedOver != null && keeping.copies().handedOver()) {
            handedOver.countDown();
        }
    }

    /** Where operators go on whom this harbour can't serve, since it has no vote: to one that is heard. */
    private Option<String> voter() {
        ConsensusReplica copies = keeping.copies();
        List<String> voters = copies.isVoter() || copies.isBlank()
                ? List.of()
                : copies.voters().stream()
                        .map(ReplicaKey::address)
                        .filter(a -> !a.equals(own) && others.isClear(a))
                        .map(controls::get)
                        .filter(Objects::nonNull)
                        .toList();
        return voters.isEmpty() ? Option.none() : Option.some(voters.get((int) (ticks % voters.size())));
    }

    /** All other harbours that lines are wanted to, and where each has said that it is asked. */
    private List<Object> harbours() {
        List<Object> all = new ArrayList<>();
        others.addresses().stream()
                .sorted()
                .forEach(address -> all.add(JsonCodec.map(
                        "address", address, "control", controls.get(address), "heard", others.isClear(address))));
        return all;
    }

    private long confirmedAge() {
        return keeping == null ? -1 : keeping.copies().confirmedAge(clock.getAsLong());
    }

    private void openStore() {
        try {
            XodusStore store = new XodusStore(Path.of(papers.dataDirectory()));
            store.setAside()
                    .ifPresent(why -> LOG.error("The disk was damaged; what it held is set aside. " + why
                            + ". This harbour has to learn what stands."));
            PersistentState loaded = store.load().orElse(null);
            loop.execute(() -> begin(store, loaded, papers.initialStart() && !store.damaged()));
        } catch (IOException | RuntimeException e) {
            // Full, out of reach or stalled: it is there again once the disk is.
            if (!String.valueOf(e.getMessage()).equals(notOpen)) {
                notOpen = String.valueOf(e.getMessage());
                LOG.error("The disk can't be opened yet: " + notOpen);
            }
            loop.schedule(() -> disk.execute(this::openStore), OPEN_EVERY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Most of them are left when as many machines are lost as may be. */
    private int voters() {
        return Math.max(LEAST_VOTERS, papers.machineFailures() < 0 ? seeds.size() : 2 * papers.machineFailures() + 1);
    }

    private void begin(Store store, PersistentState loaded, boolean initialStart) {
        ConsensusReplica copies = new ConsensusReplica(
                ConsensusOptions.usual(),
                own,
                seeds,
                voters(),
                initialStart,
                loaded,
                life,
                new SplittableRandom(new SecureRandom().nextLong()),
                clock.getAsLong());
        ReplicaDriver its = new ReplicaDriver(
                copies,
                store,
                disk,
                loop,
                clock,
                (to, message) -> others.send(ReplicaKey.address(to), message),
                show -> news.show(show.number(), show.configuration(), show.voters()));
        keeping = its;
        LOG.info("The disk is open. " + (loaded == null ? "It is empty." : "It stands at " + loaded.accepted() + "."));
        wantOthers();
        its.start();
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        try {
            ticks++;
            wantOthers();
            others.tick();
            keeping.tick();
            lookAround();
            news.tick();
            if (ticks % TICKS_A_TALLY == 0) {
                news.tellTallies();
            }
            if (ticks % TICKS_A_LOOK == 0) {
                look(false);
            }
        } catch (RuntimeException | Error e) {
            LOG.error("A tick failed.", e);
        }
    }

    /** Reads the settings anew where they are others. */
    private void look(boolean signalled) {
        disk.execute(() -> file.look(signalled, next -> loop.execute(() -> seeds = List.copyOf(next.seedLines()))));
    }

    private void wantOthers() {
        Set<String> wanted = new HashSet<>(seeds);
        keeping.copies().voters().forEach(member -> wanted.add(ReplicaKey.address(member)));
        callers.values().forEach(member -> wanted.add(ReplicaKey.address(member)));
        wanted.remove(own);
        others.want(wanted);
    }

    /** Lines that others have opened. */
    private final class Lines implements PeerConnection.Ear {
        @Override
        public void opened(PeerConnection line) {}

        @Override
        public void heard(PeerConnection line, Map<String, Object> head, byte[] body) {
            String type = JsonCodec.text(head, "t");
            if (type.equals("hello")) {
                if (JsonCodec.text(head, "kind").equals("harbour")) {
                    String member = JsonCodec.text(head, head.containsKey("member") ? "member" : "address");
                    line.owner(member);
                    callers.put(line, member);
                    controls.put(JsonCodec.text(head, "address"), JsonCodec.text(head, "control"));
                } else {
                    news.welcome(line, JsonCodec.text(head, "name"));
                }
            } else if (type.startsWith("copies.")) {
                if (keeping != null && line.owner() instanceof String from) {
                    keeping.received(from, head);
                    lookAround();
                }
            } else {
                news.heard(line, head);
            }
        }

        @Override
        public void closed(PeerConnection line) {
            callers.remove(line);
            news.lost(line);
        }
    }

    /** Lines that this harbour has opened to others: it speaks there, and hears on those of theirs. */
    private static final class Others implements PeerConnectionPool.Owner {
        @Override
        public void up(String address, PeerConnection line) {}

        @Override
        public void heard(String address, PeerConnection line, Map<String, Object> head, byte[] body) {}

        @Override
        public void lost(String address, PeerConnection line) {}

        @Override
        public void refused(String address) {}
    }
}

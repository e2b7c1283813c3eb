package org.cypressweir.fleet.transport;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipChange;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareOptions;
import org.cypressweir.fleet.membership.ShareRequester;

/**
 * Membership, shares, endpoint lists and leases of one process over one UDP socket: passes the time and received
 * messages to the protocols, and sends their messages. Confined to the event loop.
 */
public final class FleetSocket implements FleetCoordination {

    /** Longest time that a start waits for other members, which may not exist. */
    private static final long MAX_START_DELAY_MILLIS = 1_500;

    private static final long BIND_RETRY_MILLIS = 200;

    private final Parameters opening;
    /** The options in use. */
    private MembershipOptions options;

    private final UdpTransport transport;
    private final FleetEventLog events;
    private final MembershipProtocol membership;
    /** Null where limits are not shared among the live processes. */
    private ShareRequester shares;

    private final EndpointListBorrower endpointLists;
    private final LeaseService leases;
    private double lastShare;
    private int lastProcessCount;
    private boolean isLeaving;

    private FleetSocket(Parameters opening) {
        this.opening = opening;
        options = opening.options();
        events = new FleetEventLog(options, opening.name());
        transport = new UdpTransport(opening.loop(), options.cluster(), this::receive, opening.log());
        long processId = ThreadLocalRandom.current().nextLong();
        Peer self = new Peer(opening.name(), processId, System.currentTimeMillis(), 1, options.advertise());
        membership =
                new MembershipProtocol(nowMicros(), options, self, opening.facts(), processId, new MembershipActions());
        shares = newShares();
        endpointLists = new EndpointListBorrower(processId, opening.lists(), transport::send, events);
        leases = new LeaseService(nowMicros(), opening, options, membership, transport::send, events);
    }

    private ShareRequester newShares() {
        if (options.shares() == null) {
            return null;
        }
        long firstNumber = ThreadLocalRandom.current().nextLong(Long.MAX_VALUE / 2);
        return new ShareRequester(nowMicros(), options.shares(), options.advertise(), firstNumber, transport::send);
    }

    /**
     * Opens the socket. While a process that this one replaces still uses the socket, the result completes at once, and
     * the socket is opened when that process has ended.
     */
    public static CompletableFuture<FleetCoordination> open(Parameters opening) {
        CompletableFuture<FleetCoordination> opened = new CompletableFuture<>();
        FleetSocket socket = new FleetSocket(opening);
        socket.bind(opened);
        opening.loop().schedule(socket.endpointLists::stopWaiting, MAX_START_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        return opened;
    }

    private void bind(CompletableFuture<FleetCoordination> opened) {
        transport.bind(options.listen()).addListener(bound -> {
            if (bound.isSuccess()) {
                events.record("opened", opening.name(), Addresses.text(options.advertise()));
                tick();
                opened.complete(this);
            } else if (opening.mayAwaitSocket()) {
                if (opened.complete(this)) {
                    String address = Addresses.text(options.listen());
                    opening.log().accept("membership: waits for " + address + ", which another process uses");
                }
                scheduleBind(opened);
            } else {
                opened.completeExceptionally(bindFailure(bound.cause()));
            }
        });
    }

    private void scheduleBind(CompletableFuture<FleetCoordination> opened) {
        Runnable retry = () -> {
            if (!isLeaving) {
                bind(opened);
            }
        };
        opening.loop().schedule(retry, BIND_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private IOException bindFailure(Throwable cause) {
        String address = Addresses.text(options.listen());
        return new IOException("[membership] can't listen on " + address + ": " + cause.getMessage(), cause);
    }

    /** Microseconds from any origin; no decision depends on the wall clock. */
    private static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    private void tick() {
        if (!transport.isOpen()) {
            return;
        }
        leases.tick(nowMicros(), this::liveMembers);
        membership.tick(nowMicros());
        if (!isLeaving) {
            updateShares();
            endpointLists.tick(nowMicros(), membership.self(), this::otherLiveMembers);
        } else if (membership.hasLeft() && leases.hasReleasedAll()) {
            events.record("closed", opening.name(), "");
            transport.close();
            return;
        }
        EventLoop loop = opening.loop();
        loop.schedule(this::tick, options.tickMicros(), TimeUnit.MICROSECONDS);
    }

    /** Detects share changes at the latest here; code that applies a limit reads the share each time it uses it. */
    private void updateShares() {
        if (shares == null) {
            return;
        }
        shares.tick(nowMicros(), membership.self());
        double part = shares.fraction(nowMicros());
        int processCount = shares.processCount(nowMicros());
        if (part != lastShare || processCount != lastProcessCount) {
            lastShare = part;
            lastProcessCount = processCount;
            events.record("part", opening.name(), part + " " + processCount);
            opening.onShareChanged().run();
        }
    }

    /** Members in the view, including this process once it was admitted. */
    private Stream<MemberRecord> liveMembers() {
        return membership.members().values().stream()
                .map(MembershipProtocol.MemberView::record)
                .filter(member -> member.status() == MemberStatus.MEMBER);
    }

    private List<Peer> otherLiveMembers() {
        return liveMembers()
                .map(MemberRecord::peer)
                .filter(peer -> !peer.name().equals(opening.name()))
                .toList();
    }

    private void receive(MembershipMessage message) throws MembershipMessageCodec.Dropped {
        if (message.kind() == MembershipMessage.Kind.LEASE) {
            leases.receive(nowMicros(), message);
        } else if (message.kind().isAboutEndpointLists()) {
            endpointLists.receive(nowMicros(), message, membership.self());
        } else if (!message.kind().isAboutShares()) {
            membership.receive(nowMicros(), message);
        } else if (shares != null && !isLeaving) {
            shares.receive(nowMicros(), message, membership.self());
        }
    }

    /** Carries out what the membership protocol decides. */
    private final class MembershipActions implements MembershipProtocol.Actions {
        @Override
        public void send(InetSocketAddress to, MembershipMessage message) {
            transport.send(to, message);
        }

        @Override
        public void viewChanged(MembershipChange change) {
            String kind = change.kind().name().toLowerCase(Locale.ROOT);
            opening.log()
                    .accept("membership: " + change.name() + " " + kind + " (incarnation " + change.incarnation()
                            + "), " + change.cause() + "; " + change.liveCount() + " live");
            String text = change.incarnation() + " " + change.liveCount() + " " + change.cause();
            events.record(kind, change.name(), text);
        }

        @Override
        public void nameRefused(String reason) {
            events.record("refused", opening.name(), reason);
            opening.onRefused().accept(reason);
        }

        @Override
        public void log(String line) {
            opening.log().accept("membership: " + line);
            events.record("log", opening.name(), line);
        }
    }

    @Override
    public CompletableFuture<Void> initialBorrowingDone() {
        return endpointLists.finished();
    }

    @Override
    public double shareFraction() {
        return shares == null ? 1 : shares.fraction(nowMicros());
    }

    @Override
    public int processCount() {
        return shares == null ? 1 : shares.processCount(nowMicros());
    }

    @Override
    public void updateFacts(Map<String, String> facts) {
        membership.updateFacts(nowMicros(), facts);
        leases.updateFacts(nowMicros(), facts);
    }

    @Override
    public void reconfigure(MembershipOptions newOptions) {
        ShareOptions oldShares = options.shares();
        LeaseOptions leaseOptions = leases.reconfigure(nowMicros(), newOptions.leases());
        options = options.reloaded(newOptions.withLeases(leaseOptions));
        membership.reconfigure(options);
        if (!Objects.equals(oldShares, options.shares())) {
            // Grants that voters made under the old options are not valid under the new ones.
            shares = newShares();
        }
    }

    @Override
    public String leaseStatus(String lease) {
        return leases.answer(nowMicros(), lease);
    }

    @Override
    public String leasesStatus() {
        return leases.answerAll(nowMicros());
    }

    @Override
    public String membersJson() {
        return FleetStatusJson.members(nowMicros(), membership, shares, transport);
    }

    @Override
    public void leave() {
        if (!isLeaving) {
            isLeaving = true;
            leases.leave(nowMicros());
            membership.leave(nowMicros());
        }
    }
}

package org.cypressweir.fleet.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cypressweir.fleet.FleetCoordination;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.fleet.membership.MembershipProtocol;

/**
 * Connects the leases of one process to the fleet's socket: sends their messages, logs their changes, updates them with
 * the live members, and answers operators' queries. Does nothing if the settings have no leases. Confined to the event
 * loop.
 */
final class LeaseService {

    private static final String LEASES_DISABLED = "NO leases are off";
    private static final String STATE_FACT = "state";
    private static final String SERVING = "serving";
    private static final Set<String> STATES_WITH_LEASES = Set.of(SERVING, "starting");
    private static final long MEMBERS_INTERVAL_MICROS = 500_000;
    /** How long a client outside the process may act on one answer; the lease is not released meanwhile. */
    private static final long MAX_DELEGATION_MICROS = 2_000_000;

    private final FleetCoordination.Parameters opening;
    private final InetSocketAddress ownAddress;
    private final MembershipProtocol membership;
    private final BiConsumer<InetSocketAddress, MembershipMessage> sender;
    private final FleetEventLog events;
    private LeaseOptions options;
    /** Null if the settings have no leases. */
    private Leases leases;

    private long nextMembersUpdateAt = Long.MIN_VALUE;

    LeaseService(
            long now,
            FleetCoordination.Parameters opening,
            MembershipOptions membershipOptions,
            MembershipProtocol membership,
            BiConsumer<InetSocketAddress, MembershipMessage> sender,
            FleetEventLog events) {
        this.opening = opening;
        this.membership = membership;
        this.sender = sender;
        this.events = events;
        ownAddress = membershipOptions.advertise();
        start(now, membershipOptions.leases());
    }

    private void start(long now, LeaseOptions newOptions) {
        options = newOptions;
        leases = options == null ? null : newLeases(now);
    }

    private Leases newLeases(long now) {
        return new Leases(
                now,
                options,
                ownAddress,
                opening.name(),
                Long.toHexString(membership.self().processId()),
                System.currentTimeMillis(),
                ThreadLocalRandom.current().nextLong(),
                new LeaseActions());
    }

    private final class LeaseActions implements Leases.Actions {
        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            byte[] payload = LeaseMessageCodec.write(message);
            sender.accept(to, envelope(payload));
        }

        @Override
        public void acquired(String lease, long token) {
            events.record("lease_began", lease, String.valueOf(token));
            opening.log().accept("lease: holds " + lease + ", token " + token);
        }

        @Override
        public void ended(String lease, long token, String reason) {
            events.record("lease_ended", lease, token + " " + reason);
            opening.log().accept("lease: gives up " + lease + ", token " + token + ": " + reason);
        }
    }

    private MembershipMessage envelope(byte[] payload) {
        return new MembershipMessage(
                MembershipMessage.Kind.LEASE,
                membership.self(),
                "",
                0,
                0,
                List.of(),
                List.of(),
                List.of(),
                "",
                payload);
    }

    /**
     * Applies new options. Grantors that can't safely replace the current ones are rejected with a log line.
     *
     * @return the options in effect now
     */
    LeaseOptions reconfigure(long now, LeaseOptions newOptions) {
        if (leases == null) {
            start(now, newOptions);
        } else if (newOptions == null) {
            leases.leave(now, "the file no longer has any leases");
            start(now, null);
        } else {
            String unsafe = leases.reconfigure(now, newOptions);
            if (unsafe == null) {
                options = newOptions;
            } else {
                opening.log().accept("[keepers] stay as they were: " + unsafe);
            }
        }
        return options;
    }

    /**
     * Performs the actions that are due. Has to be called before anything else that the process does in a tick, so
     * that leases that expired during a pause are not used.
     */
    void tick(long now, Supplier<Stream<MemberRecord>> liveMembers) {
        if (leases == null) {
            return;
        }
        leases.tick(now);
        if (now >= nextMembersUpdateAt) {
            nextMembersUpdateAt = now + MEMBERS_INTERVAL_MICROS;
            leases.updateMembers(servingMembers(liveMembers.get()));
        }
    }

    /** Members that a lease may be handed over to; draining members request none. */
    private Map<String, InetSocketAddress> servingMembers(Stream<MemberRecord> liveMembers) {
        Map<String, InetSocketAddress> serving = new HashMap<>();
        liveMembers
                .filter(member -> SERVING.equals(member.facts().get(STATE_FACT)))
                .forEach(member ->
                        serving.put(member.peer().name(), member.peer().address()));
        serving.put(opening.name(), ownAddress);
        return serving;
    }

    void receive(long now, MembershipMessage message) throws MembershipMessageCodec.Dropped {
        if (leases != null) {
            LeaseMessage received = LeaseMessageCodec.read(message.payload());
            leases.receive(now, message.from().address(), received);
        }
    }

    /** Handles a change of this process's facts: while it drains or ends it holds no leases. */
    void updateFacts(long now, Map<String, String> facts) {
        if (leases == null) {
            return;
        }
        String state = String.valueOf(facts.get(STATE_FACT));
        if (STATES_WITH_LEASES.contains(state)) {
            leases.rejoin();
        } else {
            leases.leave(now, "the process is " + state);
        }
    }

    void leave(long now) {
        if (leases != null) {
            leases.leave(now, "the process ends");
        }
    }

    boolean hasReleasedAll() {
        return leases == null || leases.hasReleasedAll();
    }

    /** Answers whether the caller may act under a lease. */
    String answer(long now, String lease) {
        if (leases == null) {
            return LEASES_DISABLED;
        }
        Leases.Status status = leases.status(now).get(lease);
        if (status == null) {
            return "NO lease '" + lease + "' is not in the file";
        }
        Leases.Permission permission = leases.delegate(now, lease, MAX_DELEGATION_MICROS);
        if (permission.mayAct()) {
            return "YES " + permission.token() + ' ' + permission.remainingMicros() / 1_000;
        }
        return status.holder().isEmpty()
                ? "NO holder is known"
                : "NO held by " + status.holder() + " for " + status.remainingMicros() / 1_000 + " ms at most";
    }

    /** Answers with a list of all leases. */
    String answerAll(long now) {
        return leases == null ? LEASES_DISABLED : FleetStatusJson.leases(leases.status(now)) + "\nEND";
    }
}

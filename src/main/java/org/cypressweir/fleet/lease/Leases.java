package org.cypressweir.fleet.lease;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import org.cypressweir.fleet.lease.LeaseMessage.Kind;

/**
 * The leases of one process: those that it holds or requests ({@link LeaseClient}), and those that it grants where it
 * is a grantor ({@link LeaseGrantor}). The time is an argument of each event; {@link #tick} is called regularly.
 * Confined to one thread.
 *
 * <p>Two processes never hold a lease at once while the rates of clocks differ by less than the options say and all
 * processes have the same grantors. A process may be paused between checking that it holds a lease and acting on it.
 * Expiry can't prevent that, so the receiver of the act has to reject any fencing token below the highest it has seen.
 */
public final class Leases {

    /** Effects that the process carries out. Implementations must not call back into this object. */
    public interface Actions {
        void send(InetSocketAddress to, LeaseMessage message);

        /** This process holds the lease from now on. */
        void acquired(String lease, long token);

        /** This process no longer holds the lease. */
        void ended(String lease, long token, String reason);
    }

    /** Whether the caller may act now, under which fencing token, and for how long. */
    public record Permission(boolean mayAct, long token, long remainingMicros) {}

    /** A lease as far as this process knows; the holder is empty if none is known. */
    public record Status(String holder, boolean isHeldHere, long token, long remainingMicros) {}

    /** Delay between the requests of consecutive members in the order of preference. */
    private static final long RANK_DELAY_MICROS = 100_000;
    /** A request is delayed by {@link #RANK_DELAY_MICROS} per rank below this rank, else by half a term per rank. */
    private static final int PROMPT_RANKS = 3;
    /** Maximum number of members that a grantor without its state queries for tokens, besides the other grantors. */
    private static final int MAX_QUERIED_MEMBERS = 32;
    /** Number of members that a holder notifies when it releases a lease. */
    private static final int HINTED_MEMBERS = 2;

    private static final char INCARNATION_SEPARATOR = '/';

    private final InetSocketAddress self;
    private final String name;
    /** Name and incarnation. */
    private final String holder;

    private final Actions actions;
    private final LongUnaryOperator random;
    private final long unixMillis;
    private final Map<String, LeaseClient> clients = new TreeMap<>();
    private final HandoverTimer handovers = new HandoverTimer();
    private LeaseOptions options;
    /** Null where this process is no grantor. */
    private LeaseGrantor grantor;

    private Map<String, InetSocketAddress> members = Map.of();
    private Preference preference;
    private long messageNumber;
    private boolean isLeaving;
    private long lastTickAt;

    /**
     * @param incarnation distinguishes this run of the process from others of the same name
     * @param unixMillis wall clock, used only to derive a lower bound for tokens
     */
    public Leases(
            long now,
            LeaseOptions options,
            InetSocketAddress self,
            String name,
            String incarnation,
            long unixMillis,
            long seed,
            Actions actions) {
        this(now, options, self, name, incarnation, unixMillis, new SplittableRandom(seed)::nextLong, actions);
    }

    /**
     * With a given source of randomness.
     *
     * @param random returns a number from 0 to its argument, exclusive
     */
    public Leases(
            long now,
            LeaseOptions options,
            InetSocketAddress self,
            String name,
            String incarnation,
            long unixMillis,
            LongUnaryOperator random,
            Actions actions) {
        this.options = options;
        this.self = self;
        this.name = name;
        this.unixMillis = unixMillis;
        this.random = random;
        this.actions = actions;
        holder = name + INCARNATION_SEPARATOR + incarnation;
        messageNumber = now;
        lastTickAt = now;
        updateGrantor(now);
        updateClients(now);
        updateMembers(Map.of(name, self));
    }

    /** A copy for model checkers. */
    public Leases copy(Actions actionsOfCopy) {
        String incarnation = holder.substring(holder.lastIndexOf(INCARNATION_SEPARATOR) + 1);
        Leases copy = new Leases(lastTickAt, options, self, name, incarnation, unixMillis, random, actionsOfCopy);
        clients.forEach((lease, client) -> copy.clients.put(lease, client.copy(random, copy.new ClientActions())));
        copy.grantor = grantor == null ? null : grantor.copy();
        copy.members = members;
        copy.preference = preference;
        handovers.copyTo(copy.handovers);
        copy.messageNumber = messageNumber;
        copy.isLeaving = isLeaving;
        return copy;
    }

    /** Appends the state that determines the further behaviour of this process, for model checkers. */
    public void describeState(long now, StateText text) {
        text.addName(name);
        text.add(isLeaving ? "leaves" : "stays", now - lastTickAt);
        handovers.describeState(now, text);
        if (!isLeaving) {
            clients.values().forEach(client -> client.describeState(now, text));
        }
        if (grantor != null) {
            grantor.describeState(now, text);
        }
    }

    /** Appends the state that determines the effect of a late response to a request, for model checkers. */
    public void describeRequest(long now, String lease, long requestNumber, StateText text) {
        clients.get(lease).describeRequest(now, requestNumber, text);
    }

    private void updateGrantor(long now) {
        if (!options.allGrantors().contains(self)) {
            grantor = null;
        } else if (grantor == null) {
            grantor = new LeaseGrantor(now, options, self, unixMillis);
        } else {
            grantor.reconfigure(options);
        }
    }

    private void updateClients(long now) {
        Map<String, Long> terms = options.termMicrosByLease();
        clients.keySet().removeIf(lease -> !terms.containsKey(lease));
        terms.keySet().forEach(lease -> clients.computeIfAbsent(lease, name -> newClient(now, name)));
    }

    private LeaseClient newClient(long now, String lease) {
        long firstAttemptAt = now + 1 + random.applyAsLong(RANK_DELAY_MICROS);
        return new LeaseClient(now, lease, holder, options, firstAttemptAt, random, new ClientActions());
    }

    private void updatePreference() {
        preference = new Preference(options.termMicrosByLease().keySet(), members.keySet());
    }

    /** Carries out the effects of the lease clients. */
    private final class ClientActions implements LeaseClient.Actions {
        @Override
        public void sendToGrantors(LeaseMessage message) {
            options.allGrantors().forEach(address -> actions.send(address, message));
        }

        @Override
        public void acquired(String lease, long token) {
            actions.acquired(lease, token);
        }

        @Override
        public void ended(String lease, long token, String reason) {
            actions.ended(lease, token, reason);
        }

        @Override
        public void released(String lease, long token) {
            sendHints(lease, token);
        }
    }

    /** Tells the next preferred holders that the lease is free; each waits longer than the one before it. */
    private void sendHints(String lease, long token) {
        long delayMicros = 0;
        for (String member : preference.ranked(lease, HINTED_MEMBERS + 1)) {
            if (member.equals(name) || delayMicros == HINTED_MEMBERS * RANK_DELAY_MICROS) {
                continue;
            }
            LeaseMessage hint = LeaseMessage.of(
                    Kind.HINT, lease, holder, token, ++messageNumber, delayMicros, options.grantorSetId());
            actions.send(members.get(member), hint);
            delayMicros += RANK_DELAY_MICROS;
        }
    }

    /** Sets the live members as this process sees them, including itself. They affect only preferences. */
    public void updateMembers(Map<String, InetSocketAddress> liveMembers) {
        if (!liveMembers.equals(members)) {
            members = Map.copyOf(liveMembers);
            updatePreference();
        }
    }

    /**
     * Applies new options. A lease that was removed, or has a different term now, is released.
     *
     * @return why the change is not safe, in which case nothing has changed; null if it was applied
     */
    public String reconfigure(long now, LeaseOptions newOptions) {
        String unsafe = newOptions.findUnsafeChange(options);
        if (unsafe != null) {
            return unsafe;
        }
        clients.forEach((lease, client) -> {
            Long newTerm = newOptions.termMicrosByLease().get(lease);
            if (newTerm == null || !newTerm.equals(termMicros(lease))) {
                client.release(now, "its settings have changed");
            }
        });
        options = newOptions;
        updateGrantor(now);
        updateClients(now);
        clients.values().forEach(client -> client.reconfigure(options));
        updatePreference();
        return null;
    }

    private long termMicros(String lease) {
        return options.termMicrosByLease().get(lease);
    }

    /** Performs the actions that are due. A late call means that this process was paused. */
    public void tick(long now) {
        long pausedMicros = now - lastTickAt;
        lastTickAt = now;
        if (grantor != null && grantor.startTokenQueryIfDue(now)) {
            queryTokens();
        }
        int heldLeases = countHeldLeases(now);
        clients.forEach((lease, client) -> {
            if (pausedMicros > termMicros(lease) / 2) {
                // Others may have acquired the lease; if not, they need not wait for the rest of the term.
                client.release(now, "this process stood still for " + pausedMicros / 1_000 + " ms");
            }
            client.tick(now, !isLeaving, delayMicros(lease, heldLeases));
            if (client.isHolder(now)) {
                handOverIfDue(now, lease, client);
            }
        });
    }

    private int countHeldLeases(long now) {
        int held = 0;
        for (LeaseClient client : clients.values()) {
            held += client.isHolder(now) ? 1 : 0;
        }
        return held;
    }

    private void queryTokens() {
        LeaseMessage query = LeaseMessage.of(Kind.LEARN, "", holder, 0, ++messageNumber, 0, options.grantorSetId());
        Set<InetSocketAddress> queried = new LinkedHashSet<>(options.allGrantors());
        // A process that has held or requested a lease knows a token too; only grantors count for the quorum.
        members.values().stream().limit(MAX_QUERIED_MEMBERS).forEach(queried::add);
        queried.remove(self);
        queried.forEach(address -> actions.send(address, query));
    }

    /** How long this process waits so that members of a lower rank can request the lease first. */
    private long delayMicros(String lease, int heldLeases) {
        int rank = preference.rank(lease, name);
        long term = termMicros(lease);
        long delay = rank < PROMPT_RANKS ? rank * RANK_DELAY_MICROS : term * rank / 2;
        boolean isAtLoadLimit = heldLeases >= preference.maxLeasesPerMember();
        return rank > 0 && isAtLoadLimit ? delay + term : delay;
    }

    private void handOverIfDue(long now, String lease, LeaseClient client) {
        String preferred = preference.first(lease);
        if (preferred.equals(name) || preferred.isEmpty()) {
            handovers.reset(lease);
        } else if (handovers.startIfDue(now, lease, preferred, termMicros(lease))) {
            client.release(now, "handed over to " + preferred);
        }
    }

    /** Releases all leases, notifies the next preferred holders, and stops requesting leases. */
    public void leave(long now, String reason) {
        isLeaving = true;
        clients.values().forEach(client -> client.release(now, reason));
    }

    /** Whether no release is pending, so that others may acquire all leases that were given up. */
    public boolean hasReleasedAll() {
        return clients.values().stream().noneMatch(LeaseClient::hasPendingRelease);
    }

    /** Requests leases again after {@link #leave}. */
    public void rejoin() {
        isLeaving = false;
    }

    /** Handles a message from another process; the address is the sender as named in the message. */
    public void receive(long now, InetSocketAddress from, LeaseMessage message) {
        switch (message.kind()) {
            case ASK -> receiveRequest(now, from, message);
            case FREE -> {
                if (grantor != null) {
                    grantor.release(now, message);
                }
            }
            case LEARN -> {
                List<LeaseMessage> responses =
                        grantor == null ? tokensOfClients(message) : grantor.answerTokenQuery(message);
                responses.forEach(page -> actions.send(from, page));
            }
            case LEARNED -> {
                if (grantor != null) {
                    grantor.learnTokens(from, message);
                }
            }
            case HINT -> {
                LeaseClient client = clients.get(message.lease());
                if (client != null) {
                    client.receiveHint(now, message.token(), message.micros());
                }
            }
            case YES, NO -> receiveResponse(now, from, message);
        }
    }

    private void receiveRequest(long now, InetSocketAddress from, LeaseMessage request) {
        LeaseMessage response = grantor == null ? null : grantor.answerRequest(now, request);
        if (response != null) {
            actions.send(from, response);
        }
    }

    private void receiveResponse(long now, InetSocketAddress from, LeaseMessage response) {
        LeaseClient client = clients.get(response.lease());
        if (client != null && options.allGrantors().contains(from)) {
            client.receiveResponse(now, from, response, delayMicros(response.lease(), 0));
        }
    }

    /** The tokens known to a process that is not a grantor. */
    private List<LeaseMessage> tokensOfClients(LeaseMessage query) {
        Map<String, Long> highestTokens = new TreeMap<>();
        clients.forEach((lease, client) -> highestTokens.put(lease, client.highestToken()));
        return LeaseMessage.tokenPages(LeaseMessage.INCOMPLETE, query, options.grantorSetId(), highestTokens);
    }

    /** Whether this process may act under the lease. Called before each act, with the longest time that it takes. */
    public Permission checkHolding(long now, String lease, long actMicros) {
        LeaseClient client = clients.get(lease);
        long remaining = client == null ? 0 : client.remainingMicros(now);
        return new Permission(remaining > actMicros, remaining > 0 ? client.token() : 0, remaining);
    }

    /**
     * Permits a client outside this process to act for the returned time without asking again. The lease is not
     * released before that time is over.
     */
    public Permission delegate(long now, String lease, long maxMicros) {
        LeaseClient client = clients.get(lease);
        long delegated = client == null ? 0 : client.delegate(now, maxMicros);
        return new Permission(delegated > 0, delegated > 0 ? client.token() : 0, delegated);
    }

    /** Records that the receiver of an act has seen a higher token: the next grant has to exceed it. */
    public void observeToken(String lease, long token) {
        LeaseClient client = clients.get(lease);
        if (client != null) {
            client.observeToken(token);
        }
    }

    /** All configured leases by name. */
    public Map<String, Status> status(long now) {
        Map<String, Status> status = new TreeMap<>();
        clients.forEach((lease, client) -> status.put(lease, status(now, client)));
        return status;
    }

    private static Status status(long now, LeaseClient client) {
        String holder = client.knownHolder(now);
        String holderName = holder.substring(0, Math.max(0, holder.lastIndexOf(INCARNATION_SEPARATOR)));
        return client.isHolder(now)
                ? new Status(holderName, true, client.token(), client.remainingMicros(now))
                : new Status(holderName, false, 0, client.otherRemainingMicros(now));
    }
}

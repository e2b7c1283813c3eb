package org.cypressweir.sidecar.websocket;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;

/**
 * Limits the rate of new tunnels to the servers of a pool, with token buckets for the pool and for each server. A
 * server accepts a fixed number per second, or its slow-start share of that. Above the rate of all servers together a
 * new tunnel is rejected immediately with a retry time, different for each client, so that a burst of clients returns
 * spread over time. A server that has used up its rate, or has its maximum of open tunnels, is full until that has
 * passed. Reads no clock: callers pass the time, in microseconds.
 *
 * @param <S> a server, used as a map key
 */
public final class TunnelAdmission<S> {

    /** For how many seconds unused tokens accumulate: in the pool and for warm servers; for servers in slow start. */
    private static final double BURST_SECONDS = 1;

    private static final double COLD_BURST_SECONDS = 0.1;
    /** The longest retry time that a client is given. */
    static final long MAX_RETRY_MICROS = 30_000_000;

    private Rule rule;
    private final Map<S, ServerState> servers = new HashMap<>();
    /** Servers that were reported as full. */
    private final Set<S> full = new LinkedHashSet<>();

    private double tokens = Double.NaN;
    private long refilledAt;
    private long nextRetryAt;

    /**
     * The limits of each server.
     *
     * @param connectionsPerSecond new tunnels per second that a warm server accepts, above 0
     * @param slowStart gives the share of that which a server in slow start accepts
     * @param maxOpen most open tunnels
     */
    public record Rule(double connectionsPerSecond, Rules slowStart, int maxOpen) {}

    private static final class ServerState {
        private final long startMicros;
        private double tokens;
        private long refilledAt;
        private int open;

        private ServerState(long startMicros, long now) {
            this.startMicros = startMicros;
            refilledAt = now;
        }
    }

    public TunnelAdmission(Rule rule) {
        this.rule = rule;
    }

    /** Replaces the rule from now on. */
    public void setRule(Rule newRule) {
        rule = newRule;
    }

    /**
     * Requests one more tunnel.
     *
     * @param warmServers capacity of the pool's servers, counted in warm ones
     *
     * @return -1 if admitted, otherwise after how many microseconds the client should retry
     */
    public long admit(long now, double warmServers, SplittableRandom random) {
        double tokensPerMicro = rule.connectionsPerSecond() * warmServers / 1e6;
        double maxTokens = Math.max(1, tokensPerMicro * 1e6 * BURST_SECONDS);
        tokens = Double.isNaN(tokens) ? maxTokens : Math.min(maxTokens, tokens + tokensPerMicro * (now - refilledAt));
        refilledAt = now;
        if (warmServers > 0 && tokens >= 1) {
            tokens--;
            return -1;
        }
        // Retry times are handed out in order: clients rejected earlier return earlier.
        nextRetryAt =
                Math.max(nextRetryAt, now) + (long) Math.min(MAX_RETRY_MICROS, 1 / Math.max(1e-9, tokensPerMicro));
        if (nextRetryAt - now > MAX_RETRY_MICROS) {
            nextRetryAt = now + MAX_RETRY_MICROS;
            return 1 + random.nextLong(MAX_RETRY_MICROS);
        }
        return nextRetryAt - now;
    }

    /** Records a handshake to a server that started at the given time (0: long ago). */
    public void handshakeSent(long now, S server, long startMicros) {
        refill(now, serverState(now, server, startMicros)).tokens--;
    }

    /** Records a tunnel that is now open at a server. */
    public void opened(long now, S server, long startMicros) {
        serverState(now, server, startMicros).open++;
    }

    /** Records that a tunnel of a server has ended. */
    public void ended(S server) {
        ServerState serverState = servers.get(server);
        if (serverState != null) {
            serverState.open--;
        }
    }

    /** How many tunnels are open at a server. */
    public int open(S server) {
        ServerState serverState = servers.get(server);
        return serverState == null ? 0 : serverState.open;
    }

    /**
     * Whether a server accepts no further tunnel now; a full server is remembered until {@link #freed} returns it.
     */
    public boolean isFull(long now, S server) {
        ServerState serverState = servers.get(server);
        boolean limited =
                serverState != null && (serverState.open >= rule.maxOpen() || refill(now, serverState).tokens < 1);
        if (limited) {
            full.add(server);
        }
        return limited;
    }

    /** Returns servers that were full and no longer are; each is returned once. */
    public List<S> freed(long now) {
        if (full.isEmpty()) {
            return List.of();
        }
        List<S> freed = new ArrayList<>();
        for (S server : List.copyOf(full)) {
            if (!isFull(now, server)) {
                full.remove(server);
                freed.add(server);
            }
        }
        return freed;
    }

    /** Whether any server is remembered as full. */
    public boolean anyFull() {
        return !full.isEmpty();
    }

    /** Forgets servers that have no open tunnel and whose token bucket is full. */
    public void forgetIdle(long now) {
        servers.entrySet()
                .removeIf(e -> e.getValue().open <= 0
                        && !full.contains(e.getKey())
                        && refill(now, e.getValue()).tokens >= maxTokens(now, e.getValue()));
    }

    private ServerState serverState(long now, S server, long startMicros) {
        return servers.computeIfAbsent(server, s -> {
            ServerState created = new ServerState(startMicros, now);
            created.tokens = maxTokens(now, created);
            return created;
        });
    }

    private double maxTokens(long now, ServerState serverState) {
        double slowStartShare = rule.slowStart().slowStartShare(now, serverState.startMicros);
        return Math.max(
                1,
                rule.connectionsPerSecond()
                        * slowStartShare
                        * (slowStartShare < 1 ? COLD_BURST_SECONDS : BURST_SECONDS));
    }

    private ServerState refill(long now, ServerState serverState) {
        // The slow-start share at the start of the interval is used for all of it, so the limit is never exceeded.
        double newTokens = rule.connectionsPerSecond()
                * rule.slowStart().slowStartShare(serverState.refilledAt, serverState.startMicros)
                * (now - serverState.refilledAt)
                / 1e6;
        serverState.tokens = Math.min(maxTokens(now, serverState), serverState.tokens + newTokens);
        serverState.refilledAt = now;
        return serverState;
    }
}

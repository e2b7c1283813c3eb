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
 * What the servers of a pool can take of new connections that stay. Each takes so many a second, a cold one
 * its cold share of that; past what all of them take together a new one is refused at once and told when to
 * come back, each at a time of its own, so that a wave comes back as a stream. A server that has had its
 * part, or has as many as it may have, is full until that is over. No clock: it is told the time, in
 * microseconds.
 *
 * @param <S> a server, by identity
 */
public final class TunnelAdmission<S> {

    /** How long a part that was not used is saved up: by all together and warm servers, by a cold one. */
    private static final double SAVED_SECONDS = 1;

    private static final double COLD_SAVED_SECONDS = 0.1;
    /** Nobody is asked to stay away for longer. */
    static final long LONGEST_MICROS = 30_000_000;

    private Rule rule;
    private final Map<S, Account> servers = new HashMap<>();
    /** Those that were told to be full. */
    private final Set<S> full = new LinkedHashSet<>();

    private double saved = Double.NaN;
    private long at;
    private long nextReturn;

    /**
     * What holds for each server.
     *
     * @param rate new connections a second that a warm one takes, above 0
     * @param cold what a cold one takes of that
     * @param most open connections at most
     */
    public record Rule(double rate, Rules cold, int most) {}

    private static final class Account {
        private final long startMicros;
        private double saved;
        private long at;
        private int open;

        private Account(long startMicros, long now) {
            this.startMicros = startMicros;
            at = now;
        }
    }

    public TunnelAdmission(Rule rule) {
        this.rule = rule;
    }

    /** Another rule holds from now on. */
    public void rule(Rule other) {
        rule = other;
    }

    /**
     * Asks for one more; there are servers that take as much as so many warm ones.
     *
     * @return -1 where it is taken, else after how many microseconds its client should come back
     */
    public long ask(long now, double warmServers, SplittableRandom random) {
        double rate = rule.rate() * warmServers / 1e6;
        double most = Math.max(1, rate * 1e6 * SAVED_SECONDS);
        saved = Double.isNaN(saved) ? most : Math.min(most, saved + rate * (now - at));
        at = now;
        if (warmServers > 0 && saved >= 1) {
            saved--;
            return -1;
        }
        // Those that were sent away before come first, if they do come.
        nextReturn = Math.max(nextReturn, now) + (long) Math.min(LONGEST_MICROS, 1 / Math.max(1e-9, rate));
        if (nextReturn - now > LONGEST_MICROS) {
            nextReturn = now + LONGEST_MICROS;
            return 1 + random.nextLong(LONGEST_MICROS);
        }
        return nextReturn - now;
    }

    /** A handshake goes to a server that started then (0: long ago). */
    public void tried(long now, S server, long startMicros) {
        refill(now, account(now, server, startMicros)).saved--;
    }

    /** A connection stays open at a server from now on. */
    public void opened(long now, S server, long startMicros) {
        account(now, server, startMicros).open++;
    }

    /** One has ended. */
    public void ended(S server) {
        Account account = servers.get(server);
        if (account != null) {
            account.open--;
        }
    }

    /** How many are open there. */
    public int open(S server) {
        Account account = servers.get(server);
        return account == null ? 0 : account.open;
    }

    /**
     * Whether a server takes no further one now; one that does not is remembered until it is {@link #freed}.
     */
    public boolean isFull(long now, S server) {
        Account account = servers.get(server);
        boolean is = account != null && (account.open >= rule.most() || refill(now, account).saved < 1);
        if (is) {
            full.add(server);
        }
        return is;
    }

    /** Those that were full and are not any more; each is told once. */
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

    /** Forgets servers of which nothing is open and that have saved up all they can. */
    public void forget(long now) {
        servers.entrySet()
                .removeIf(e -> e.getValue().open <= 0
                        && !full.contains(e.getKey())
                        && refill(now, e.getValue()).saved >= most(now, e.getValue()));
    }

    private Account account(long now, S server, long startMicros) {
        return servers.computeIfAbsent(server, s -> {
            Account fresh = new Account(startMicros, now);
            fresh.saved = most(now, fresh);
            return fresh;
        });
    }

    private double most(long now, Account account) {
        double share = rule.cold().coldShare(now, account.startMicros);
        return Math.max(1, rule.rate() * share * (share < 1 ? COLD_SAVED_SECONDS : SAVED_SECONDS));
    }

    private Account refill(long now, Account account) {
        // The share of the beginning holds for the whole time: the bound is kept, never exceeded.
        double gained = rule.rate() * rule.cold().coldShare(account.at, account.startMicros) * (now - account.at) / 1e6;
        account.saved = Math.min(most(now, account), account.saved + gained);
        account.at = now;
        return account;
    }
}

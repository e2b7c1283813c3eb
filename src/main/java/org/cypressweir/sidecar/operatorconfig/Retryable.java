package org.cypressweir.sidecar.operatorconfig;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Outcomes of an attempt that may be retried, named as in the operators' file. */
public enum Retryable {
    /** 503 or 504 with {@code Not-Started: 1}. */
    TURNED_AWAY("turned-away", Result.FULL),
    /** Connection refused, never established, or broken before the last byte was written; or request not sent. */
    NO_CONNECTION("no-connection", Result.NO_CONNECTION, Result.NOT_SENT),
    /** Any other status except 200. */
    ERROR("error", Result.ERROR),
    /** Connection broken after the last byte was written. */
    RESET("reset", Result.BROKEN),
    /** No response within the attempt's time-out. */
    TIMEOUT("timeout", Result.TIMED_OUT);

    private final String word;
    private final Set<Result> results;

    Retryable(String word, Result... results) {
        this.word = word;
        this.results = Set.of(results);
    }

    /** Whether the server may have executed an attempt with this outcome, or may still do so. */
    boolean mayHaveRun() {
        return !results.stream().allMatch(r -> r.provesNotRun);
    }

    static Retryable of(String word) {
        return Arrays.stream(values())
                .filter(r -> r.word.equals(word))
                .findFirst()
                .orElse(null);
    }

    static List<String> words() {
        return Arrays.stream(values()).map(r -> r.word).toList();
    }

    /** All outcomes that may be retried for a class of this effect. */
    static Set<Retryable> allowed(Effect effect) {
        EnumSet<Retryable> all = EnumSet.allOf(Retryable.class);
        if (effect == Effect.UNSAFE) {
            all.removeIf(Retryable::mayHaveRun);
        }
        return all;
    }

    /** Converts outcomes to the load balancer's results. */
    static Set<Result> results(Collection<Retryable> outcomes) {
        EnumSet<Result> results = EnumSet.noneOf(Result.class);
        outcomes.forEach(o -> results.addAll(o.results));
        return results;
    }

    @Override
    public String toString() {
        return word;
    }
}

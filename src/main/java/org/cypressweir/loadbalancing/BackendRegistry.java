package org.cypressweir.loadbalancing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/** The servers of the last list by id, and those that have left it with attempts still out. */
final class BackendRegistry {

    private static final long COLD_SHARE_AGE_MICROS = 50_000;

    private final Map<Long, Backend> byId = new LinkedHashMap<>();
    private final FailureRates failureRates;
    private final BalancerContext context;
    private final CachedMeasurement meanColdShare = new CachedMeasurement(COLD_SHARE_AGE_MICROS);

    BackendRegistry(BalancerContext context, FailureRates failureRates) {
        this.context = context;
        this.failureRates = failureRates;
    }

    Backend get(long id) {
        return byId.get(id);
    }

    Collection<Backend> all() {
        return byId.values();
    }

    /** Takes in lines of a list; of a complete one, what it does not name is not listed any more. */
    void apply(List<Server> lines, boolean isComplete, SubsetAssignment subsets, OutlierDetector outliers) {
        if (isComplete) {
            byId.values().forEach(backend -> backend.isListed = false);
        }
        for (Server line : lines) {
            Backend backend = byId.get(line.id());
            if (backend == null || backend.server.startMicros() != line.startMicros()) {
                backend = replace(line.id(), backend, subsets, outliers);
            }
            if (backend.update(line)) {
                subsets.place(backend);
            }
            if (!backend.isListed) {
                remove(backend, subsets, outliers);
            }
        }
        if (isComplete) {
            List<Backend> gone =
                    byId.values().stream().filter(backend -> !backend.isListed).toList();
            gone.forEach(backend -> remove(backend, subsets, outliers));
        }
    }

    /** A new id or start time is a new process: nothing learned of an old one holds. */
    private Backend replace(long id, Backend old, SubsetAssignment subsets, OutlierDetector outliers) {
        if (old != null) {
            old.isListed = false;
            remove(old, subsets, outliers);
        }
        Backend backend = new Backend(id, context.settings.rank(), failureRates.new Of());
        byId.put(id, backend);
        return backend;
    }

    /** Not on the list any more; what is still out at it may yet be answered. */
    private void remove(Backend backend, SubsetAssignment subsets, OutlierDetector outliers) {
        backend.isReady = false;
        subsets.place(backend);
        outliers.readmit(backend);
        removeIfUnused(backend);
    }

    /** Lets a server go that is not listed once nothing is out at it. */
    void removeIfUnused(Backend backend) {
        if (!backend.isListed && backend.inFlight.isEmpty()) {
            byId.remove(backend.id, backend);
        }
    }

    /** Mean of what the ready servers take of what they take when warm, as it is or was a moment ago. */
    double meanColdShare(long now) {
        return meanColdShare.at(now, () -> measureColdShare(now, context.settings.rules()));
    }

    private double measureColdShare(long now, Rules rules) {
        return byId.values().stream()
                .filter(backend -> backend.isReady)
                .mapToDouble(backend -> backend.isEjected() ? 0 : backend.coldShare(now, rules))
                .average()
                .orElse(1);
    }
}

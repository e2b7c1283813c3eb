package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * Decides whether a starting proxy may serve with the configuration that it has: a controller must confirm that
 * nothing newer had been committed as of a recent time. If no controller confirms this within a time-out, because the
 * controllers have no majority or this proxy doesn't reach it, the proxy starts with the configuration that it has. The
 * decision to start is final.
 *
 * <p>Each query carries the time at this proxy, which the answer repeats: a delayed answer is only as recent as its
 * query.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class ReadinessGate {

    /** A controller whose last contact with a majority is older than this counts as partitioned. */
    static final long MAX_CONTACT_AGE_MICROS = 2_000_000;

    private static final long QUERY_INTERVAL_MICROS = 200_000;

    private record Confirmation(ProposalNumber version, long asOf) {}

    private final Map<String, Confirmation> confirmations = new HashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private long lastQueryAt = Long.MIN_VALUE / 2;
    private long configuredSince = -1;
    private boolean started;
    private boolean isConfirmed;

    /** Whether controllers are to be queried now; if so, the next query is due one interval later. */
    boolean isQueryDue(long now) {
        if (started || now - lastQueryAt < QUERY_INTERVAL_MICROS) {
            return false;
        }
        lastQueryAt = now;
        return true;
    }

    /** Takes a controller's answer to the query of that time. A negative age says that it can confirm nothing. */
    void confirmationReceived(long now, String controller, long queriedAt, ProposalNumber version, long ageMicros) {
        if (version != null && ageMicros >= 0 && queriedAt <= now) {
            confirmations.put(controller, new Confirmation(version, queriedAt - ageMicros));
        }
        contactAgeReceived(controller, ageMicros);
    }

    /** Takes how long ago a controller was in contact with a majority; negative if it isn't in contact. */
    void contactAgeReceived(String controller, long ageMicros) {
        if (ageMicros < 0 || ageMicros > MAX_CONTACT_AGE_MICROS) {
            partitioned.add(controller);
        } else {
            partitioned.remove(controller);
        }
    }

    void controllerLost(String controller) {
        confirmations.remove(controller);
        partitioned.remove(controller);
    }

    /** Those of the controllers that are in contact with a majority, as far as known; all of them if none is. */
    Set<String> inContact(Set<String> controllers) {
        Set<String> inContact = new HashSet<>(controllers);
        inContact.removeAll(partitioned);
        return inContact.isEmpty() ? controllers : inContact;
    }

    /** Whether any of the controllers is in contact with a majority, as far as known. */
    boolean isAnyInContact(Set<String> controllers) {
        return controllers.stream().anyMatch(controller -> !partitioned.contains(controller));
    }

    /**
     * Whether the proxy may start with the configuration of this version.
     *
     * @param timeoutMicros how long it waits for a confirmation once it has a configuration
     */
    boolean mayStart(long now, ProposalNumber ownVersion, long timeoutMicros) {
        if (started || ownVersion.equals(ProposalNumber.ZERO)) {
            return started;
        }
        if (configuredSince < 0) {
            configuredSince = now;
        }
        isConfirmed = confirmations.values().stream()
                .anyMatch(confirmation -> now - confirmation.asOf <= MAX_CONTACT_AGE_MICROS
                        && ownVersion.compareTo(confirmation.version) >= 0);
        started = isConfirmed || now - configuredSince >= timeoutMicros;
        return started;
    }

    /** Whether the configuration that the proxy started with was confirmed. */
    boolean isConfirmed() {
        return isConfirmed;
    }
}

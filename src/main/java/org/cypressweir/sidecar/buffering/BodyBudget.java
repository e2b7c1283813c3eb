package org.cypressweir.sidecar.buffering;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the memory that a process uses to buffer large requests. A request is buffered completely until it ends, so
 * that it can be retried if its class allows. Bytes are therefore granted before they are read, and a request that has
 * to wait is not read any further. No I/O: this class decides which requests may go on, and the host acts on it.
 *
 * <p>Requests that hold memory already go first, in the order in which they asked: once complete they end and free
 * their memory. If all requests that hold memory wait for more, none could ever go on; then the newest of them is
 * refused, which is safe, since nothing of it has been forwarded.
 */
public final class BodyBudget {

    /** The decision on a request for memory. */
    public enum Decision {
        GRANTED,
        WAITS,
        REFUSED
    }

    /** The memory that one request holds and waits for, in bytes. */
    public static final class Reservation {
        private final long sequence;
        private final Runnable granted;
        private final Runnable refused;
        private long grantedBytes;
        private long pendingBytes;

        private Reservation(long sequence, Runnable granted, Runnable refused) {
            this.sequence = sequence;
            this.granted = granted;
            this.refused = refused;
        }

        /** The bytes granted so far. */
        public long grantedBytes() {
            return grantedBytes;
        }

        /** The host runs this when the request may go on after waiting. */
        public Runnable granted() {
            return granted;
        }

        /** The host runs this when the request is refused after waiting. */
        public Runnable refused() {
            return refused;
        }
    }

    /** The requests that the host has to notify. */
    public record GrantDecisions(List<Reservation> granted, List<Reservation> refused) {}

    private final long capacityBytes;
    private final Set<Reservation> holders = new LinkedHashSet<>();
    private final Set<Reservation> waiting = new LinkedHashSet<>();
    private long usedBytes;
    private long lastSequence;

    public BodyBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    public long usedBytes() {
        return usedBytes;
    }

    public int waiting() {
        return waiting.size();
    }

    /** Registers a request that holds no memory yet. */
    public Reservation newReservation(Runnable granted, Runnable refused) {
        return new Reservation(++lastSequence, granted, refused);
    }

    /** Asks for more bytes. Only one such call may be pending for a request at a time. */
    public Decision request(Reservation reservation, long bytes) {
        if (reservation.grantedBytes + bytes > capacityBytes) {
            return Decision.REFUSED;
        }
        reservation.pendingBytes = bytes;
        if (fits(reservation) && (reservation.grantedBytes > 0 || waiting.isEmpty())) {
            grant(reservation);
            return Decision.GRANTED;
        }
        waiting.add(reservation);
        return Decision.WAITS;
    }

    /** Frees everything that a request holds or waits for. */
    public GrantDecisions release(Reservation reservation) {
        revoke(reservation);
        return decideWaiting();
    }

    /**
     * A request has been read completely and needs no more memory. It holds this many bytes, which may exceed what was
     * granted by the size of the last read.
     */
    public GrantDecisions complete(Reservation reservation, long bytes) {
        waiting.remove(reservation);
        holders.add(reservation);
        usedBytes += bytes - reservation.grantedBytes;
        reservation.grantedBytes = bytes;
        return decideWaiting();
    }

    /** Decides on the waiting requests; also to be called whenever a request has begun to wait. */
    public GrantDecisions decideWaiting() {
        List<Reservation> granted = new ArrayList<>();
        List<Reservation> refused = new ArrayList<>();
        while (true) {
            Reservation next = nextWaiting();
            if (next != null && fits(next)) {
                waiting.remove(next);
                grant(next);
                granted.add(next);
            } else if (next != null && isDeadlocked()) {
                Reservation newest = newestHolder();
                revoke(newest);
                refused.add(newest);
            } else {
                return new GrantDecisions(granted, refused);
            }
        }
    }

    private void revoke(Reservation reservation) {
        usedBytes -= reservation.grantedBytes;
        reservation.grantedBytes = 0;
        holders.remove(reservation);
        waiting.remove(reservation);
    }

    private boolean fits(Reservation reservation) {
        return usedBytes + reservation.pendingBytes <= capacityBytes;
    }

    private void grant(Reservation reservation) {
        usedBytes += reservation.pendingBytes;
        reservation.grantedBytes += reservation.pendingBytes;
        reservation.pendingBytes = 0;
        holders.add(reservation);
    }

    /** Requests that hold memory go first; of them the first that fits, so that a large one does not block others. */
    private Reservation nextWaiting() {
        Reservation first = null;
        for (Reservation reservation : waiting) {
            if (reservation.grantedBytes > 0 && fits(reservation)) {
                return reservation;
            }
            first = first == null || first.grantedBytes == 0 && reservation.grantedBytes > 0 ? reservation : first;
        }
        return first;
    }

    /** Whether all requests that hold memory wait for more. */
    private boolean isDeadlocked() {
        return !holders.isEmpty() && waiting.containsAll(holders);
    }

    private Reservation newestHolder() {
        Reservation newest = null;
        for (Reservation reservation : holders) {
            newest = newest == null || reservation.sequence > newest.sequence ? reservation : newest;
        }
        return newest;
    }
}

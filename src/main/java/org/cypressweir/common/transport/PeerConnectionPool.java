package org.cypressweir.common.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.util.Addresses;

/**
 * Keeps a line to each address that is wanted, and dials anew as long as it is wanted. A line on which
 * nothing is heard is doubled by a new one: what is out on the old one may still be answered there, until it
 * has been silent for so long that it is given up. Everything here happens on the loop.
 */
public final class PeerConnectionPool {

    /** So many lines have the plan's times; more have longer ones. */
    private static final int FEW = 12;

    /** What holds for all lines here; times in microseconds. */
    public record Plan(
            long pingAfter, long silentAfter, long givenUpAfter, long redial, long mostRedial, int connectMillis) {}

    /** What the owner is told beside what the lines say. */
    public interface Owner {
        /** The line is the one to use from now on. */
        void up(String address, PeerConnection line);

        void heard(String address, PeerConnection line, Map<String, Object> head, byte[] body);

        /** A line is gone, and with it all that was out on it. */
        void lost(String address, PeerConnection line);

        /** No line could be had: nobody listens there, or nothing is heard. */
        void refused(String address);
    }

    private final class Mooring implements PeerConnection.Ear {
        private final String address;
        private PeerConnection line;
        private final List<PeerConnection> old = new ArrayList<>();
        private boolean dialing;
        private boolean wanted = true;
        private long dialAt;
        private long pinged;
        private long wait = plan.redial();

        private Mooring(String address) {
            this.address = address;
        }

        private void dial() {
            if (dialing || !wanted) {
                return;
            }
            dialing = true;
            wharf.dial(Addresses.parse(address), plan.connectMillis(), this, why -> {
                dialing = false;
                dialAt = micros.getAsLong() + wait;
                wait = Math.min(plan.mostRedial(), wait * 2);
                if (line == null && wanted) {
                    owner.refused(address);
                }
            });
        }

        @Override
        public void opened(PeerConnection fresh) {
            dialing = false;
            wait = plan.redial();
            if (!wanted) {
                fresh.close();
                return;
            }
            if (line != null) {
                old.add(line);
            }
            line = fresh;
            fresh.send(hello.get());
            owner.up(address, fresh);
        }

        @Override
        public void heard(PeerConnection from, Map<String, Object> head, byte[] body) {
            owner.heard(address, from, head, body);
        }

        @Override
        public void closed(PeerConnection gone) {
            old.remove(gone);
            if (gone == line) {
                line = null;
                dialAt = micros.getAsLong();
            }
            owner.lost(address, gone);
            if (line == null) {
                dial();
            }
        }

        private void tick(long now) {
            if (line == null) {
                if (now >= dialAt) {
                    dial();
                }
            } else if (now - line.heardAt() > stretched(plan.silentAfter())) {
                if (now >= dialAt) {
                    dialAt = now + stretched(plan.silentAfter());
                    dial();
                }
                if (now - line.heardAt() > stretched(plan.givenUpAfter())) {
                    line.close();
                }
            } else if (now - Math.min(line.heardAt(), line.sentAt()) > stretched(plan.pingAfter())
                    && now - pinged > stretched(plan.pingAfter())) {
                pinged = now;
                line.ping();
            }
            for (PeerConnection one : List.copyOf(old)) {
                if (now - one.heardAt() > stretched(plan.givenUpAfter())) {
                    one.close();
                }
            }
        }

        private void end() {
            wanted = false;
            if (line != null) {
                line.close();
            }
            List.copyOf(old).forEach(PeerConnection::close);
        }
    }

    private final PeerTransport wharf;
    private final LongSupplier micros;
    private final Plan plan;
    private final Supplier<Map<String, Object>> hello;
    private final Owner owner;
    private final Map<String, Mooring> moorings = new HashMap<>();

    /** @param hello what is said first on each line */
    public PeerConnectionPool(
            PeerTransport wharf, LongSupplier micros, Plan plan, Supplier<Map<String, Object>> hello, Owner owner) {
        this.wharf = wharf;
        this.micros = micros;
        this.plan = plan;
        this.hello = hello;
        this.owner = owner;
    }

    /** From now on lines to these are kept, and to no others. */
    public void want(Set<String> addresses) {
        for (Iterator<Mooring> each = moorings.values().iterator(); each.hasNext(); ) {
            Mooring mooring = each.next();
            if (!addresses.contains(mooring.address)) {
                each.remove();
                mooring.end();
            }
        }
        for (String address : addresses) {
            if (!moorings.containsKey(address)) {
                Mooring mooring = new Mooring(address);
                moorings.put(address, mooring);
                mooring.dial();
            }
        }
    }

    /** The line to an address; null while there is none. */
    public PeerConnection line(String address) {
        Mooring mooring = moorings.get(address);
        return mooring == null || mooring.line == null || !mooring.line.isOpen() ? null : mooring.line;
    }

    /** Whether there is a line on which something was heard lately, or nothing is owed. */
    public boolean isClear(String address) {
        PeerConnection line = line(address);
        return line != null && micros.getAsLong() - line.heardAt() <= stretched(plan.silentAfter());
    }

    /** With many lines the times grow, so that the pings of all together stay as rare as those of a few. */
    private long stretched(long time) {
        return time * Math.max(FEW, moorings.size()) / FEW;
    }

    /** Sends where there is a line; whether there was one. */
    public boolean send(String address, Map<String, ?> head) {
        PeerConnection line = line(address);
        if (line != null) {
            line.send(head);
        }
        return line != null;
    }

    public Set<String> addresses() {
        return Set.copyOf(moorings.keySet());
    }

    /** To be called some times a second. */
    public void tick() {
        long now = micros.getAsLong();
        for (Mooring mooring : List.copyOf(moorings.values())) {
            mooring.tick(now);
        }
    }

    public void close() {
        want(Set.of());
    }
}

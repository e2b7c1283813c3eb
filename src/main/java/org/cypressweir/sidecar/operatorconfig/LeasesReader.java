package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.MembershipSection;

/** Reads {@code [keepers]} and {@code [leases.NAME]}, and refuses what can't work. */
final class LeasesReader {

    private static final long LEAST_TERM = 500_000;
    private static final long MOST_TERM = 3_600_000_000L;
    private static final double LEAST_DRIFT = 0.0001;
    private static final double MOST_DRIFT = 0.2;
    private static final double DRIFT = 0.01;
    private static final int MOST_NAME = 64;
    private static final List<Integer> COUNTS = List.of(3, 5, 7);

    private final Section keepers;
    private final List<Section> leases;
    private final Problems problems;

    /** @param keepers null where there is no such table */
    LeasesReader(Section keepers, List<Section> leases, Problems problems) {
        this.keepers = keepers;
        this.leases = leases;
        this.problems = problems;
    }

    /** Null where the file has no leases, or none that can work. */
    LeaseOptions read(MembershipSection membership) {
        if (keepers == null && leases.isEmpty()) {
            return null;
        }
        int line = keepers != null ? keepers.line() : leases.get(0).line();
        if (membership == null) {
            problems.add(line, "leases need [membership]: keepers are asked over its socket");
        }
        Map<String, Long> terms = new TreeMap<>();
        long most = LEAST_TERM;
        for (Section lease : leases) {
            long term = term(lease, membership == null ? null : membership.plan());
            terms.put(lease.title().substring(lease.title().indexOf('.') + 1), term);
            most = Math.max(most, term);
        }
        if (keepers == null) {
            problems.add(line, "there are leases and no [keepers]: nobody could grant them");
            return null;
        }
        return plan(terms, most);
    }

    private LeaseOptions plan(Map<String, Long> terms, long largest) {
        List<InetSocketAddress> addresses = addresses("addresses");
        if (addresses == null) {
            keepers.problem("addresses", "[keepers] lacks 'addresses'");
            addresses = List.of();
        }
        List<InetSocketAddress> before = addresses("before");
        long most = keepers.time("most_term", LEAST_TERM, MOST_TERM, largest);
        if (most < largest) {
            keepers.problem(
                    "most_term",
                    "'most_term' is " + DurationText.text(most) + ", and a lease has a term" + " of "
                            + DurationText.text(largest));
        }
        Double drift = keepers.number("drift", LEAST_DRIFT, MOST_DRIFT);
        Boolean wall = keepers.flag("wall_clock");
        keepers.rejectUnknown();
        return new LeaseOptions(
                addresses, before, most, drift == null ? DRIFT : drift, !Boolean.FALSE.equals(wall), terms);
    }

    /** A pause that membership bears must not cost the lease, nor an act that was begun before it. */
    private long term(Section lease, MembershipOptions membership) {
        String name = lease.title().substring(lease.title().indexOf('.') + 1);
        if (name.length() > MOST_NAME || !name.matches("[A-Za-z0-9_.-]+")) {
            problems.add(
                    lease.line(),
                    "lease '" + name + "': a name has 1 to " + MOST_NAME + " letters, digits, '.', '_' or '-'");
        }
        long act = lease.time("act", 0, MOST_TERM, 0);
        long least = membership == null ? LEAST_TERM : 2 * membership.pauseMicros() + act;
        long term = lease.time("term", LEAST_TERM, MOST_TERM, Math.max(LEAST_TERM, least));
        if (term < least) {
            lease.problem(
                    "term",
                    "'term' of lease '" + name + "' is " + DurationText.text(term)
                            + ", shorter than twice the pause and the act (" + DurationText.text(least) + ")");
        }
        lease.rejectUnknown();
        return term;
    }

    private List<InetSocketAddress> addresses(String key) {
        if (!keepers.has(key)) {
            return null;
        }
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> texts = keepers.texts(key);
        for (String text : texts == null ? List.<String>of() : texts) {
            try {
                InetSocketAddress address = Addresses.parse(text);
                if (address.getPort() == 0 || address.getAddress().isAnyLocalAddress()) {
                    keepers.problem(key, "keeper '" + text + "' is no address to send to");
                } else if (addresses.contains(address)) {
                    keepers.problem(key, "keeper '" + text + "' stands twice");
                }
                addresses.add(address);
            } catch (IllegalArgumentException e) {
                keepers.problem(key, e.getMessage() + "; names are not looked up");
            }
        }
        if (!COUNTS.contains(addresses.size())) {
            keepers.problem(key, "'" + key + "' names " + addresses.size() + " keepers; it must be" + " 3, 5 or 7");
        }
        return addresses;
    }
}

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

/** Reads and validates {@code [keepers]} (the lease grantors) and {@code [leases.NAME]}. */
final class LeasesReader {

    private static final long MIN_TERM_MICROS = 500_000;
    private static final long MAX_TERM_MICROS = 3_600_000_000L;
    private static final double MIN_DRIFT = 0.0001;
    private static final double MAX_DRIFT = 0.2;
    private static final double DEFAULT_DRIFT = 0.01;
    private static final int MAX_NAME_LENGTH = 64;
    private static final List<Integer> ALLOWED_KEEPER_COUNTS = List.of(3, 5, 7);

    private final Section keepers;
    private final List<Section> leases;
    private final Problems problems;

    /** @param keepers null if the file has no such table */
    LeasesReader(Section keepers, List<Section> leases, Problems problems) {
        this.keepers = keepers;
        this.leases = leases;
        this.problems = problems;
    }

    /** Reads the options; null if the file has no leases or no grantors for them. */
    LeaseOptions read(MembershipSection membership) {
        if (keepers == null && leases.isEmpty()) {
            return null;
        }
        int line = keepers != null ? keepers.line() : leases.get(0).line();
        if (membership == null) {
            problems.add(line, "leases need [membership]: keepers are asked over its socket");
        }
        Map<String, Long> terms = new TreeMap<>();
        long maxTerm = MIN_TERM_MICROS;
        for (Section lease : leases) {
            long term = readTerm(lease, membership == null ? null : membership.options());
            terms.put(lease.title().substring(lease.title().indexOf('.') + 1), term);
            maxTerm = Math.max(maxTerm, term);
        }
        if (keepers == null) {
            problems.add(line, "there are leases and no [keepers]: nobody could grant them");
            return null;
        }
        return readOptions(terms, maxTerm);
    }

    private LeaseOptions readOptions(Map<String, Long> terms, long longestTerm) {
        List<InetSocketAddress> addresses = readAddresses("addresses");
        if (addresses == null) {
            keepers.problem("addresses", "[keepers] lacks 'addresses'");
            addresses = List.of();
        }
        List<InetSocketAddress> previousAddresses = readAddresses("before");
        long maxTerm = keepers.time("most_term", MIN_TERM_MICROS, MAX_TERM_MICROS, longestTerm);
        if (maxTerm < longestTerm) {
            keepers.problem(
                    "most_term",
                    "'most_term' is " + DurationText.format(maxTerm) + ", and a lease has a term" + " of "
                            + DurationText.format(longestTerm));
        }
        Double drift = keepers.number("drift", MIN_DRIFT, MAX_DRIFT);
        Boolean wallClock = keepers.flag("wall_clock");
        keepers.rejectUnknownKeys();
        return new LeaseOptions(
                addresses,
                previousAddresses,
                maxTerm,
                drift == null ? DEFAULT_DRIFT : drift,
                !Boolean.FALSE.equals(wallClock),
                terms);
    }

    /** The term must outlast a process pause that membership tolerates and an action begun before the pause. */
    private long readTerm(Section lease, MembershipOptions membership) {
        String name = lease.title().substring(lease.title().indexOf('.') + 1);
        if (name.length() > MAX_NAME_LENGTH || !name.matches("[A-Za-z0-9_.-]+")) {
            problems.add(
                    lease.line(),
                    "lease '" + name + "': a name has 1 to " + MAX_NAME_LENGTH + " letters, digits, '.', '_' or '-'");
        }
        long act = lease.time("act", 0, MAX_TERM_MICROS, 0);
        long minTerm = membership == null ? MIN_TERM_MICROS : 2 * membership.pauseMicros() + act;
        long term = lease.time("term", MIN_TERM_MICROS, MAX_TERM_MICROS, Math.max(MIN_TERM_MICROS, minTerm));
        if (term < minTerm) {
            lease.problem(
                    "term",
                    "'term' of lease '" + name + "' is " + DurationText.format(term)
                            + ", shorter than twice the pause and the act (" + DurationText.format(minTerm) + ")");
        }
        lease.rejectUnknownKeys();
        return term;
    }

    private List<InetSocketAddress> readAddresses(String key) {
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
        if (!ALLOWED_KEEPER_COUNTS.contains(addresses.size())) {
            keepers.problem(key, "'" + key + "' names " + addresses.size() + " keepers; it must be" + " 3, 5 or 7");
        }
        return addresses;
    }
}

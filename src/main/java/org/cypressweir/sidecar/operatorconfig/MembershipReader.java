package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.MembershipSection;

/** Reads {@code [membership]}, and refuses what can't work. */
final class MembershipReader {

    private static final long LEAST_PAUSE = 200_000;
    private static final long MOST_PAUSE = 60_000_000;
    private static final long LEAST_PERIOD = 10_000;
    /** An answer has to come back within the pause, and again where one is lost. */
    private static final int PERIODS_IN_PAUSE = 3;

    private static final int MOST_SEEDS = 64;
    private static final int MOST_NAME = 64;

    private final Section section;

    MembershipReader(Section section) {
        this.section = section;
    }

    MembershipSection read() {
        String cluster = section.required("cluster");
        if (cluster != null && (cluster.isBlank() || cluster.length() > MOST_NAME)) {
            section.problem("cluster", "'cluster' must have 1 to " + MOST_NAME + " characters");
        }
        InetSocketAddress listen = port("listen", OperatorsReader.address(section, "listen"));
        InetSocketAddress advertise =
                section.has("advertise") ? port("advertise", OperatorsReader.address(section, "advertise")) : listen;
        boolean beyond = Boolean.TRUE.equals(section.flag("beyond_loopback"));
        if (listen != null && !listen.getAddress().isLoopbackAddress() && !beyond) {
            section.problem(
                    "listen",
                    "'listen' is " + Addresses.text(listen) + ": messages are not"
                            + " authenticated, so an address that others can reach needs 'beyond_loopback = true'");
        }
        if (advertise != null && advertise.getAddress().isAnyLocalAddress()) {
            section.problem(
                    section.has("advertise") ? "advertise" : "listen",
                    "others can't reach " + Addresses.text(advertise)
                            + "; set 'advertise' to the address that they use");
        }
        long pause = section.time("pause", LEAST_PAUSE, MOST_PAUSE, 3_000_000);
        long period = section.time("period", LEAST_PERIOD, MOST_PAUSE, MembershipOptions.defaultPeriodMicros(pause));
        if (section.has("period") && period * PERIODS_IN_PAUSE > pause) {
            section.problem(
                    "period",
                    "'period' is " + DurationText.text(period) + ", more than a third of" + " 'pause' ("
                            + DurationText.text(pause) + "): too few answers fit into it");
        }
        int most = (int) section.count("max_members", 2, 100_000, MembershipOptions.DEFAULT_MAX_MEMBERS);
        String record = section.text("record");
        List<InetSocketAddress> seeds = seeds(advertise);
        section.rejectUnknown();
        return new MembershipSection(
                section.line(), new MembershipOptions(cluster, listen, advertise, seeds, pause, period, most, record));
    }

    private InetSocketAddress port(String key, InetSocketAddress address) {
        if (address != null && address.getPort() == 0) {
            section.problem(key, "'" + key + "' has port 0, which nobody else could know");
        }
        return address;
    }

    private List<InetSocketAddress> seeds(InetSocketAddress own) {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<String> texts = section.texts("seeds");
        if (texts == null || texts.isEmpty()) {
            section.problem("seeds", "[membership] names no 'seeds': nobody would ever be found");
            return seeds;
        }
        if (texts.size() > MOST_SEEDS) {
            section.problem("seeds", "more than " + MOST_SEEDS + " seeds");
        }
        for (String text : texts) {
            try {
                InetSocketAddress seed = Addresses.parse(text);
                if (seed.getPort() == 0 || seed.getAddress().isAnyLocalAddress()) {
                    section.problem("seeds", "seed '" + text + "' is no address to send to");
                } else if (seeds.contains(seed)) {
                    section.problem("seeds", "seed '" + text + "' stands twice");
                }
                seeds.add(seed);
            } catch (IllegalArgumentException e) {
                section.problem("seeds", e.getMessage() + "; names are not looked up");
            }
        }
        if (seeds.size() == 1 && seeds.get(0).equals(own)) {
            section.problem("seeds", "the only seed is this process itself");
        }
        return seeds;
    }
}

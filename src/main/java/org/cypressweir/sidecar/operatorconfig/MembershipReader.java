package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.MembershipSection;

/** Reads and validates {@code [membership]}. */
final class MembershipReader {

    private static final long MIN_PAUSE_MICROS = 200_000;
    private static final long MAX_PAUSE_MICROS = 60_000_000;
    private static final long MIN_PERIOD_MICROS = 10_000;
    /** A probe must get its response within the pause, with time for another probe if one is lost. */
    private static final int MIN_PERIODS_PER_PAUSE = 3;

    private static final int MAX_SEEDS = 64;
    private static final int MAX_CLUSTER_NAME_LENGTH = 64;

    private final Section section;

    MembershipReader(Section section) {
        this.section = section;
    }

    MembershipSection read() {
        String cluster = section.required("cluster");
        if (cluster != null && (cluster.isBlank() || cluster.length() > MAX_CLUSTER_NAME_LENGTH)) {
            section.problem("cluster", "'cluster' must have 1 to " + MAX_CLUSTER_NAME_LENGTH + " characters");
        }
        InetSocketAddress listen = requirePort("listen", OperatorsReader.readAddress(section, "listen"));
        InetSocketAddress advertise = section.has("advertise")
                ? requirePort("advertise", OperatorsReader.readAddress(section, "advertise"))
                : listen;
        boolean beyondLoopback = Boolean.TRUE.equals(section.flag("beyond_loopback"));
        if (listen != null && !listen.getAddress().isLoopbackAddress() && !beyondLoopback) {
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
        long pause = section.time("pause", MIN_PAUSE_MICROS, MAX_PAUSE_MICROS, 3_000_000);
        long period = section.time(
                "period", MIN_PERIOD_MICROS, MAX_PAUSE_MICROS, MembershipOptions.defaultPeriodMicros(pause));
        if (section.has("period") && period * MIN_PERIODS_PER_PAUSE > pause) {
            section.problem(
                    "period",
                    "'period' is " + DurationText.format(period) + ", more than a third of" + " 'pause' ("
                            + DurationText.format(pause) + "): too few answers fit into it");
        }
        int maxMembers = (int) section.count("max_members", 2, 100_000, MembershipOptions.DEFAULT_MAX_MEMBERS);
        String record = section.text("record");
        List<InetSocketAddress> seeds = readSeeds(advertise);
        section.rejectUnknownKeys();
        return new MembershipSection(
                section.line(),
                new MembershipOptions(cluster, listen, advertise, seeds, pause, period, maxMembers, record));
    }

    private InetSocketAddress requirePort(String key, InetSocketAddress address) {
        if (address != null && address.getPort() == 0) {
            section.problem(key, "'" + key + "' has port 0, which nobody else could know");
        }
        return address;
    }

    private List<InetSocketAddress> readSeeds(InetSocketAddress ownAddress) {
        List<InetSocketAddress> seeds = new ArrayList<>();
        List<String> texts = section.texts("seeds");
        if (texts == null || texts.isEmpty()) {
            section.problem("seeds", "[membership] names no 'seeds': nobody would ever be found");
            return seeds;
        }
        if (texts.size() > MAX_SEEDS) {
            section.problem("seeds", "more than " + MAX_SEEDS + " seeds");
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
        if (seeds.size() == 1 && seeds.get(0).equals(ownAddress)) {
            section.problem("seeds", "the only seed is this process itself");
        }
        return seeds;
    }
}

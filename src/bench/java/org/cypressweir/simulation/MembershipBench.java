package org.cypressweir.simulation;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.cypressweir.fleet.membership.MembershipChange;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * Compares membership with plain SWIM and all-to-all heartbeats on the same simulated network. A run has a phase
 * without faults, a crash, pauses under message loss, and a member whose messages are all lost. Argument, separated by
 * colons: fleet sizes (separated by commas), seeds, a file for a chart or nothing, seconds of pauses and number of
 * protocols, such as {@code 100,1000:5:docs/design/membership} or {@code 100:1::3600:1}.
 */
public final class MembershipBench {

    private static final long PAUSE_MICROS = 3_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static int pauseSeconds = 120;
    /** Heartbeats grow with n squared: with more members they show nothing new and take days. */
    private static final int MAX_HEARTBEAT_MEMBERS = 1_000;

    private static final long PERIOD_MICROS = MembershipOptions.defaultPeriodMicros(PAUSE_MICROS);

    /** Counts of one protocol over all seeds. */
    private static final class Result {
        final Histogram detectionMillis = new Histogram(60_000, 3);
        long undetected;
        long falseRemovals;
        long changes;
        double datagrams;
        double bytes;
        long muteRemovals;
        long muteChanges;
        int runs;
    }

    /** A fleet that runs one protocol, and a setter for the listener of its membership changes. */
    private record Fleet(
            SimulatedNetwork<?> net,
            BiPredicate<Integer, Integer> sees,
            LongSupplier bytes,
            Consumer<PlainSwim.StatusListener> listener) {}

    private MembershipBench() {}

    public static void main(String[] args) throws IOException {
        String[] parts = args[0].split(":");
        if (parts.length > 3) {
            pauseSeconds = Integer.parseInt(parts[3]);
        }
        CategoryChart chart = new CategoryChartBuilder()
                .width(760)
                .height(420)
                .title("Healthy members put out in two minutes, sleepers and 20% loss (log10 of 1 + n)")
                .xAxisTitle("members")
                .build();
        List<String> sizes = List.of(parts[0].split(","));
        String[] protocols = {"membership", "plain SWIM", "all to all"};
        List<List<Double>> bars = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        System.out.println("| members | way | known ms: median, 99%, worst | not known | healthy put out, by"
                + " all in " + pauseSeconds + " s | changes a minute | datagrams, bytes a member and second"
                + " | mute one out for; changes after |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String size : sizes) {
            int n = Integer.parseInt(size);
            int count = parts.length > 4 ? Integer.parseInt(parts[4]) : protocols.length;
            for (int protocol = 0; protocol < (n > MAX_HEARTBEAT_MEMBERS ? Math.min(2, count) : count); protocol++) {
                Result row = new Result();
                // Heartbeats grow with n squared: above 100 members one seed is enough.
                int seeds = protocol == 2 && n > 100 ? 1 : Integer.parseInt(parts[1]);
                for (int seed = 1; seed <= seeds; seed++) {
                    runScenario(
                            protocol == 0
                                    ? membershipFleet(n, seed)
                                    : protocol == 1 ? swimFleet(n, seed) : heartbeatFleet(n, seed),
                            n,
                            seed,
                            row);
                }
                System.out.println(String.format(
                        Locale.ROOT,
                        "| %d | %s | %d, %d, %d | %d | %.1f | %.1f | %.1f, %.0f | %.0f%%; %.1f |",
                        n,
                        protocols[protocol],
                        row.detectionMillis.getValueAtPercentile(50),
                        row.detectionMillis.getValueAtPercentile(99),
                        row.detectionMillis.getMaxValue(),
                        row.undetected,
                        1.0 * row.falseRemovals / row.runs,
                        row.changes * 60.0 / pauseSeconds / row.runs,
                        row.datagrams / row.runs,
                        row.bytes / row.runs,
                        100.0 * row.muteRemovals / row.runs / (n - 2),
                        1.0 * row.muteChanges / row.runs));
                bars.get(protocol).add(Math.log10(1 + 1.0 * row.falseRemovals / row.runs));
            }
        }
        if (parts.length > 2 && !parts[2].isEmpty()) {
            for (int protocol = 0; protocol < protocols.length; protocol++) {
                chart.addSeries(protocols[protocol], sizes, bars.get(protocol));
            }
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, Path.of(parts[2]).toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        }
    }

    private static void runScenario(Fleet fleet, int n, long seed, Result row) {
        SimulatedNetwork<?> net = fleet.net;
        row.runs++;
        run(net, 3 * SECOND_MICROS);
        long sent = net.sent();
        long bytes = fleet.bytes.getAsLong();
        run(net, 5 * SECOND_MICROS);
        row.datagrams += (net.sent() - sent) / 5.0 / n;
        row.bytes += (fleet.bytes.getAsLong() - bytes) / 5.0 / n;
        int killed = n - 1;
        long at = net.now();
        boolean[] heard = new boolean[n];
        fleet.listener.accept((by, member, out) -> {
            if (member == killed && out && !heard[by]) {
                heard[by] = true;
                row.detectionMillis.recordValue((net.now() - at) / 1_000);
            }
        });
        net.kill(killed);
        run(net, 12 * SECOND_MICROS);
        for (int i = 0; i < killed; i++) {
            row.undetected += heard[i] ? 0 : 1;
        }
        runPauses(fleet, n, seed, row);
        net.setConditions(SimulatedNetwork.Conditions.RELIABLE);
        run(net, 10 * SECOND_MICROS);
        fleet.listener.accept((by, member, out) -> {});
        net.setPartition((from, to) -> from != 0);
        run(net, 15 * SECOND_MICROS);
        for (int i = 1; i < killed; i++) {
            row.muteRemovals += fleet.sees.test(i, 0) ? 0 : 1;
        }
        fleet.listener.accept((by, member, out) -> row.muteChanges += by != 0 ? 1 : 0);
        run(net, 30 * SECOND_MICROS);
    }

    private static void runPauses(Fleet fleet, int n, long seed, Result row) {
        SimulatedNetwork<?> net = fleet.net;
        SplittableRandom random = new SplittableRandom(seed);
        net.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
        fleet.listener.accept((by, member, out) -> {
            row.changes += member == n - 1 ? 0 : 1;
            row.falseRemovals += out && member != n - 1 ? 1 : 0;
        });
        for (int second = 0; second < pauseSeconds; second++) {
            for (int i = 0; i < Math.max(1, n / 50); i++) {
                int sleeper = random.nextInt(n - 1);
                net.pause(sleeper);
                net.schedule(net.now() + 100_000 + random.nextLong(PAUSE_MICROS - 200_000), () -> net.resume(sleeper));
            }
            run(net, SECOND_MICROS);
        }
    }

    private static void run(SimulatedNetwork<?> net, long micros) {
        net.run(net.now() + micros);
    }

    private static Fleet membershipFleet(int n, long seed) {
        MembershipSimulation f = new MembershipSimulation(seed, n, 3, PAUSE_MICROS);
        f.startAsEstablishedFleet();
        return new Fleet(f.network, (by, member) -> f.get(by).protocol().isInView("n" + member), f::bytes, to -> {
            f.changes.clear();
            f.onChange(s -> to.statusChanged(
                    s.observer(),
                    Integer.parseInt(s.change().name().substring(1)),
                    s.change().kind() == MembershipChange.Kind.OUT));
        });
    }

    private static Fleet swimFleet(int n, long seed) {
        SimulatedNetwork<PlainSwim.SwimMessage> net = new SimulatedNetwork<>(seed);
        PlainSwim.StatusListener[] listener = {(by, member, out) -> {}};
        PlainSwim[] all = new PlainSwim[n];
        for (int i = 0; i < n; i++) {
            int place = net.addNode();
            all[i] = new PlainSwim(
                    net,
                    place,
                    n,
                    PERIOD_MICROS,
                    PAUSE_MICROS,
                    seed * n + i,
                    (by, member, out) -> listener[0].statusChanged(by, member, out));
            net.start(place, PERIOD_MICROS / 8, all[i]);
        }
        return new Fleet(
                net,
                (by, member) -> all[by].isIn(member),
                () -> {
                    long sum = 0;
                    for (PlainSwim s : all) {
                        sum += s.bytes();
                    }
                    return sum;
                },
                to -> listener[0] = to);
    }

    private static Fleet heartbeatFleet(int n, long seed) {
        SimulatedNetwork<Integer> net = new SimulatedNetwork<>(seed);
        PlainSwim.StatusListener[] listener = {(by, member, out) -> {}};
        SplittableRandom random = new SplittableRandom(seed);
        AllToAll[] all = new AllToAll[n];
        for (int i = 0; i < n; i++) {
            int place = net.addNode();
            all[i] = new AllToAll(
                    net,
                    place,
                    n,
                    PERIOD_MICROS,
                    PAUSE_MICROS + 2 * PERIOD_MICROS,
                    random.nextLong(PERIOD_MICROS),
                    (by, member, out) -> listener[0].statusChanged(by, member, out));
            net.start(place, PERIOD_MICROS / 8, all[i]);
        }
        return new Fleet(net, (by, member) -> all[by].isIn(member), () -> net.sent() * 75, to -> listener[0] = to);
    }
}

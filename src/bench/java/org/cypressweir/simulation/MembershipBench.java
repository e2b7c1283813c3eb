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
import org.cypressweir.fleet.membership.Change;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;

/**
 * Membership beside two others in the same made-up time: plain SWIM, and heartbeats of all to all. A day has
 * a quiet spell, a kill, sleepers under loss, and a member that nobody hears. Its argument: sizes by comma,
 * seeds, a file for a chart or nothing, seconds of sleepers and how many ways, such as
 * {@code 100,1000:5:docs/design/membership} or {@code 100:1::3600:1}.
 */
public final class MembershipBench {

    private static final long PAUSE = 3_000_000;
    private static final long SECOND = 1_000_000;
    private static int sleepSeconds = 120;
    /** Heartbeats are n squared: past this many members they say nothing new and take days. */
    private static final int MOST_HEARTBEATS = 1_000;

    private static final long PERIOD = MembershipOptions.defaultPeriodMicros(PAUSE);

    /** What was counted of one way over all seeds. */
    private static final class Row {
        final Histogram known = new Histogram(60_000, 3);
        long unknown;
        long falseEnds;
        long changes;
        double datagrams;
        double bytes;
        long mute;
        long muteChanges;
        int days;
    }

    /** A fleet of one kind, and where its verdicts go. */
    private record Fleet(
            SimulatedNetwork<?> net,
            BiPredicate<Integer, Integer> sees,
            LongSupplier bytes,
            Consumer<PlainSwim.Verdict> ear) {}

    private MembershipBench() {}

    public static void main(String[] args) throws IOException {
        String[] parts = args[0].split(":");
        if (parts.length > 3) {
            sleepSeconds = Integer.parseInt(parts[3]);
        }
        CategoryChart chart = new CategoryChartBuilder()
                .width(760)
                .height(420)
                .title("Healthy members put out in two minutes, sleepers and 20% loss (log10 of 1 + n)")
                .xAxisTitle("members")
                .build();
        List<String> sizes = List.of(parts[0].split(","));
        String[] ways = {"membership", "plain SWIM", "all to all"};
        List<List<Double>> bars = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        System.out.println("| members | way | known ms: median, 99%, worst | not known | healthy put out, by"
                + " all in " + sleepSeconds + " s | changes a minute | datagrams, bytes a member and second"
                + " | mute one out for; changes after |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String size : sizes) {
            int n = Integer.parseInt(size);
            int count = parts.length > 4 ? Integer.parseInt(parts[4]) : ways.length;
            for (int way = 0; way < (n > MOST_HEARTBEATS ? Math.min(2, count) : count); way++) {
                Row row = new Row();
                // Heartbeats are n squared: past 100 members one seed says all.
                int seeds = way == 2 && n > 100 ? 1 : Integer.parseInt(parts[1]);
                for (int seed = 1; seed <= seeds; seed++) {
                    day(way == 0 ? ours(n, seed) : way == 1 ? swim(n, seed) : heartbeats(n, seed), n, seed, row);
                }
                System.out.println(String.format(
                        Locale.ROOT,
                        "| %d | %s | %d, %d, %d | %d | %.1f | %.1f | %.1f, %.0f | %.0f%%; %.1f |",
                        n,
                        ways[way],
                        row.known.getValueAtPercentile(50),
                        row.known.getValueAtPercentile(99),
                        row.known.getMaxValue(),
                        row.unknown,
                        1.0 * row.falseEnds / row.days,
                        row.changes * 60.0 / sleepSeconds / row.days,
                        row.datagrams / row.days,
                        row.bytes / row.days,
                        100.0 * row.mute / row.days / (n - 2),
                        1.0 * row.muteChanges / row.days));
                bars.get(way).add(Math.log10(1 + 1.0 * row.falseEnds / row.days));
            }
        }
        if (parts.length > 2 && !parts[2].isEmpty()) {
            for (int way = 0; way < ways.length; way++) {
                chart.addSeries(ways[way], sizes, bars.get(way));
            }
            VectorGraphicsEncoder.saveVectorGraphic(
                    chart, Path.of(parts[2]).toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        }
    }

    private static void day(Fleet fleet, int n, long seed, Row row) {
        SimulatedNetwork<?> net = fleet.net;
        row.days++;
        run(net, 3 * SECOND);
        long sent = net.sent();
        long bytes = fleet.bytes.getAsLong();
        run(net, 5 * SECOND);
        row.datagrams += (net.sent() - sent) / 5.0 / n;
        row.bytes += (fleet.bytes.getAsLong() - bytes) / 5.0 / n;
        int killed = n - 1;
        long at = net.now();
        boolean[] heard = new boolean[n];
        fleet.ear.accept((by, member, out) -> {
            if (member == killed && out && !heard[by]) {
                heard[by] = true;
                row.known.recordValue((net.now() - at) / 1_000);
            }
        });
        net.kill(killed);
        run(net, 12 * SECOND);
        for (int i = 0; i < killed; i++) {
            row.unknown += heard[i] ? 0 : 1;
        }
        sleepers(fleet, n, seed, row);
        net.weather(SimulatedNetwork.Weather.FAIR);
        run(net, 10 * SECOND);
        fleet.ear.accept((by, member, out) -> {});
        net.cut((from, to) -> from != 0);
        run(net, 15 * SECOND);
        for (int i = 1; i < killed; i++) {
            row.mute += fleet.sees.test(i, 0) ? 0 : 1;
        }
        fleet.ear.accept((by, member, out) -> row.muteChanges += by != 0 ? 1 : 0);
        run(net, 30 * SECOND);
    }

    private static void sleepers(Fleet fleet, int n, long seed, Row row) {
        SimulatedNetwork<?> net = fleet.net;
        SplittableRandom random = new SplittableRandom(seed);
        net.weather(SimulatedNetwork.Weather.losing(0.2));
        fleet.ear.accept((by, member, out) -> {
            row.changes += member == n - 1 ? 0 : 1;
            row.falseEnds += out && member != n - 1 ? 1 : 0;
        });
        for (int second = 0; second < sleepSeconds; second++) {
            for (int i = 0; i < Math.max(1, n / 50); i++) {
                int sleeper = random.nextInt(n - 1);
                net.stop(sleeper);
                net.at(net.now() + 100_000 + random.nextLong(PAUSE - 200_000), () -> net.go(sleeper));
            }
            run(net, SECOND);
        }
    }

    private static void run(SimulatedNetwork<?> net, long micros) {
        net.run(net.now() + micros);
    }

    private static Fleet ours(int n, long seed) {
        MembershipSimulation f = new MembershipSimulation(seed, n, 3, PAUSE);
        f.startTogether();
        return new Fleet(f.net, (by, member) -> f.get(by).core().isInView("n" + member), f::bytes, to -> {
            f.changes.clear();
            f.onChange(s -> to.put(
                    s.by(),
                    Integer.parseInt(s.change().name().substring(1)),
                    s.change().kind() == Change.Kind.OUT));
        });
    }

    private static Fleet swim(int n, long seed) {
        SimulatedNetwork<PlainSwim.SwimMessage> net = new SimulatedNetwork<>(seed);
        PlainSwim.Verdict[] ear = {(by, member, out) -> {}};
        PlainSwim[] all = new PlainSwim[n];
        for (int i = 0; i < n; i++) {
            int place = net.place();
            all[i] = new PlainSwim(
                    net, place, n, PERIOD, PAUSE, seed * n + i, (by, member, out) -> ear[0].put(by, member, out));
            net.start(place, PERIOD / 8, all[i]);
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
                to -> ear[0] = to);
    }

    private static Fleet heartbeats(int n, long seed) {
        SimulatedNetwork<Integer> net = new SimulatedNetwork<>(seed);
        PlainSwim.Verdict[] ear = {(by, member, out) -> {}};
        SplittableRandom random = new SplittableRandom(seed);
        AllToAll[] all = new AllToAll[n];
        for (int i = 0; i < n; i++) {
            int place = net.place();
            all[i] = new AllToAll(
                    net,
                    place,
                    n,
                    PERIOD,
                    PAUSE + 2 * PERIOD,
                    random.nextLong(PERIOD),
                    (by, member, out) -> ear[0].put(by, member, out));
            net.start(place, PERIOD / 8, all[i]);
        }
        return new Fleet(net, (by, member) -> all[by].isIn(member), () -> net.sent() * 75, to -> ear[0] = to);
    }
}

package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToDoubleFunction;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareOptions;
import org.cypressweir.fleet.membership.ShareRequester;

/**
 * Sum of the shares that all processes use, for three methods to compute a share: a fixed process count, the count in
 * the process's own membership view, and grants of a quorum of voters. Argument: fleet sizes (separated by commas), a
 * colon, and the number of seeds.
 */
public final class SharesBench {

    private static final long SECOND_MICROS = 1_000_000;
    private static final long PAUSE_MICROS = 3 * SECOND_MICROS;
    /** Time after which servers close idle connections. */
    private static final long LINGER_MICROS = 10 * SECOND_MICROS;

    private static final long STEP_MICROS = 50_000;
    private static final String[] METHODS = {"count for ever", "own view", "most electors"};

    private final int n;
    private final MembershipSimulation simulation;
    private final SimulatedNetwork<MembershipMessage> network;
    private final ShareRequester[] requesters;
    private final IntToDoubleFunction[] parts;
    private final double[][] openShares;
    private final long[] pausedAt;
    private final double[] maxTotals = new double[METHODS.length];
    private double[] currentTotals = new double[METHODS.length];

    private SharesBench(int n, long seed) {
        this.n = n;
        simulation = new MembershipSimulation(seed, n, 5, PAUSE_MICROS);
        simulation.startAsEstablishedFleet();
        network = new SimulatedNetwork<>(seed);
        requesters = new ShareRequester[n];
        openShares = new double[n][METHODS.length];
        pausedAt = new long[n];
        ShareOptions plan =
                simulation.options().withShares(2 * n, LINGER_MICROS).shares();
        for (int i = 0; i < n; i++) {
            int place = network.addNode();
            InetSocketAddress own = MembershipSimulation.address(place);
            Peer self = new Peer("n" + i, i, 1, 1, own);
            ShareRequester requester = new ShareRequester(
                    0,
                    plan,
                    own,
                    seed,
                    (to, m) -> network.send(
                            place,
                            to.getPort() - MembershipSimulation.address(0).getPort(),
                            m));
            requesters[i] = requester;
            network.start(place, STEP_MICROS, new SimulatedNetwork.Process<>() {
                @Override
                public void tick(long at) {
                    requester.tick(at, self);
                }

                @Override
                public void receive(long at, MembershipMessage m) {
                    requester.receive(at, m, self);
                }
            });
        }
        parts = new IntToDoubleFunction[] {
            i -> 1.0 / n,
            i -> 1.0 / simulation.get(i).protocol().liveCount(),
            i -> requesters[i].fraction(network.now())
        };
    }

    private void run(long micros) {
        for (long until = network.now() + micros; network.now() < until; ) {
            network.run(network.now() + STEP_MICROS);
            simulation.run(STEP_MICROS);
            currentTotals = new double[METHODS.length];
            for (int i = 0; i < n; i++) {
                for (int method = 0; method < METHODS.length && network.isRunning(i); method++) {
                    currentTotals[method] += pausedAt[i] == 0
                            ? parts[method].applyAsDouble(i)
                            : network.now() - pausedAt[i] < LINGER_MICROS ? openShares[i][method] : 0;
                }
            }
            for (int method = 0; method < METHODS.length; method++) {
                maxTotals[method] = Math.max(maxTotals[method], currentTotals[method]);
            }
        }
    }

    private void cut(SimulatedNetwork.Partition cut) {
        network.setPartition(cut);
        simulation.network.setPartition(cut);
    }

    private void pause(int i) {
        for (int method = 0; method < METHODS.length; method++) {
            openShares[i][method] = parts[method].applyAsDouble(i);
        }
        pausedAt[i] = network.now();
        network.pause(i);
        simulation.network.pause(i);
    }

    private void resume(int i) {
        pausedAt[i] = 0;
        network.resume(i);
        simulation.network.resume(i);
    }

    /** For each phase, the largest sum and the sum at its end, by method. */
    private List<double[][]> runScenario() {
        List<double[][]> phases = new ArrayList<>();
        run(60 * SECOND_MICROS);
        phases.add(runPhase(30 * SECOND_MICROS));
        cut((from, to) -> from < n * 3 / 5 == to < n * 3 / 5);
        phases.add(runPhase(30 * SECOND_MICROS));
        cut((from, to) -> from * 3 / n == to * 3 / n);
        phases.add(runPhase(30 * SECOND_MICROS));
        cut((from, to) -> true);
        phases.add(runPhase(40 * SECOND_MICROS));
        for (int i = n - n / 3; i < n; i++) {
            pause(i);
        }
        phases.add(runPhase(40 * SECOND_MICROS));
        for (int i = n - n / 3; i < n; i++) {
            resume(i);
        }
        phases.add(runPhase(40 * SECOND_MICROS));
        for (int i = n / 2; i < n; i++) {
            network.kill(i);
            simulation.network.kill(i);
        }
        phases.add(runPhase(40 * SECOND_MICROS));
        return phases;
    }

    private double[][] runPhase(long micros) {
        Arrays.fill(maxTotals, 0);
        run(micros);
        return new double[][] {maxTotals.clone(), currentTotals.clone()};
    }

    public static void main(String[] args) {
        String[] names = {
            "quiet",
            "split 3 to 2",
            "split in three",
            "healed",
            "a third stands still",
            "that third goes on",
            "half killed"
        };
        System.out.println("| processes | spell | " + String.join(" | ", METHODS) + " |");
        System.out.println("| --- | --- | --- | --- | --- |");
        String[] parts = args[0].split(":");
        for (String size : parts[0].split(",")) {
            int n = Integer.parseInt(size);
            double[][][] all = new double[names.length][2][METHODS.length];
            for (int seed = 1; seed <= Integer.parseInt(parts[1]); seed++) {
                List<double[][]> phases = new SharesBench(n, seed).runScenario();
                for (int s = 0; s < names.length; s++) {
                    for (int method = 0; method < METHODS.length; method++) {
                        all[s][0][method] = Math.max(all[s][0][method], phases.get(s)[0][method]);
                        all[s][1][method] += phases.get(s)[1][method] / Integer.parseInt(parts[1]);
                    }
                }
            }
            for (int s = 0; s < names.length; s++) {
                StringBuilder row = new StringBuilder("| " + n + " | " + names[s]);
                for (int method = 0; method < METHODS.length; method++) {
                    row.append(String.format(Locale.ROOT, " | %.2f, %.2f", all[s][0][method], all[s][1][method]));
                }
                System.out.println(row + " |");
            }
        }
    }
}

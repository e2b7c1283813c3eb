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
 * What all processes together use of one whole, by three ways to work out a part: a count for ever, the count
 * of the own view of membership, and the word of most electors. Its argument: sizes by comma, and seeds.
 */
public final class SharesBench {

    private static final long SECOND = 1_000_000;
    private static final long PAUSE = 3 * SECOND;
    /** Servers close what has been idle for so long. */
    private static final long LINGER = 10 * SECOND;

    private static final long LOOK = 50_000;
    private static final String[] WAYS = {"count for ever", "own view", "most electors"};

    private final int n;
    private final MembershipSimulation simulation;
    private final SimulatedNetwork<MembershipMessage> net;
    private final ShareRequester[] requesters;
    private final IntToDoubleFunction[] parts;
    private final double[][] left;
    private final long[] stoppedAt;
    private final double[] worst = new double[WAYS.length];
    private double[] now = new double[WAYS.length];

    private SharesBench(int n, long seed) {
        this.n = n;
        simulation = new MembershipSimulation(seed, n, 5, PAUSE);
        simulation.startTogether();
        net = new SimulatedNetwork<>(seed);
        requesters = new ShareRequester[n];
        left = new double[n][WAYS.length];
        stoppedAt = new long[n];
        ShareOptions plan = simulation.plan().withShares(2 * n, LINGER).shares();
        for (int i = 0; i < n; i++) {
            int place = net.place();
            InetSocketAddress own = MembershipSimulation.address(place);
            Peer self = new Peer("n" + i, i, 1, 1, own);
            ShareRequester requester = new ShareRequester(
                    0,
                    plan,
                    own,
                    seed,
                    (to, m) -> net.send(
                            place,
                            to.getPort() - MembershipSimulation.address(0).getPort(),
                            m));
            requesters[i] = requester;
            net.start(place, LOOK, new SimulatedNetwork.Process<>() {
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
            i -> 1.0 / n, i -> 1.0 / simulation.get(i).core().liveCount(), i -> requesters[i].part(net.now())
        };
    }

    private void run(long micros) {
        for (long until = net.now() + micros; net.now() < until; ) {
            net.run(net.now() + LOOK);
            simulation.run(LOOK);
            now = new double[WAYS.length];
            for (int i = 0; i < n; i++) {
                for (int way = 0; way < WAYS.length && net.runs(i); way++) {
                    now[way] += stoppedAt[i] == 0
                            ? parts[way].applyAsDouble(i)
                            : net.now() - stoppedAt[i] < LINGER ? left[i][way] : 0;
                }
            }
            for (int way = 0; way < WAYS.length; way++) {
                worst[way] = Math.max(worst[way], now[way]);
            }
        }
    }

    private void cut(SimulatedNetwork.Partition cut) {
        net.cut(cut);
        simulation.net.cut(cut);
    }

    private void stand(int i) {
        for (int way = 0; way < WAYS.length; way++) {
            left[i][way] = parts[way].applyAsDouble(i);
        }
        stoppedAt[i] = net.now();
        net.stop(i);
        simulation.net.stop(i);
    }

    private void go(int i) {
        stoppedAt[i] = 0;
        net.go(i);
        simulation.net.go(i);
    }

    /** What each fault brings at most, and what is used at its end, by way. */
    private List<double[][]> day() {
        List<double[][]> spells = new ArrayList<>();
        run(60 * SECOND);
        spells.add(spell(30 * SECOND));
        cut((from, to) -> from < n * 3 / 5 == to < n * 3 / 5);
        spells.add(spell(30 * SECOND));
        cut((from, to) -> from * 3 / n == to * 3 / n);
        spells.add(spell(30 * SECOND));
        cut((from, to) -> true);
        spells.add(spell(40 * SECOND));
        for (int i = n - n / 3; i < n; i++) {
            stand(i);
        }
        spells.add(spell(40 * SECOND));
        for (int i = n - n / 3; i < n; i++) {
            go(i);
        }
        spells.add(spell(40 * SECOND));
        for (int i = n / 2; i < n; i++) {
            net.kill(i);
            simulation.net.kill(i);
        }
        spells.add(spell(40 * SECOND));
        return spells;
    }

    private double[][] spell(long micros) {
        Arrays.fill(worst, 0);
        run(micros);
        return new double[][] {worst.clone(), now.clone()};
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
        System.out.println("| processes | spell | " + String.join(" | ", WAYS) + " |");
        System.out.println("| --- | --- | --- | --- | --- |");
        String[] parts = args[0].split(":");
        for (String size : parts[0].split(",")) {
            int n = Integer.parseInt(size);
            double[][][] all = new double[names.length][2][WAYS.length];
            for (int seed = 1; seed <= Integer.parseInt(parts[1]); seed++) {
                List<double[][]> spells = new SharesBench(n, seed).day();
                for (int s = 0; s < names.length; s++) {
                    for (int way = 0; way < WAYS.length; way++) {
                        all[s][0][way] = Math.max(all[s][0][way], spells.get(s)[0][way]);
                        all[s][1][way] += spells.get(s)[1][way] / Integer.parseInt(parts[1]);
                    }
                }
            }
            for (int s = 0; s < names.length; s++) {
                StringBuilder row = new StringBuilder("| " + n + " | " + names[s]);
                for (int way = 0; way < WAYS.length; way++) {
                    row.append(String.format(Locale.ROOT, " | %.2f, %.2f", all[s][0][way], all[s][1][way]));
                }
                System.out.println(row + " |");
            }
        }
    }
}

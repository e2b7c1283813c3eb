package org.cypressweir.sidecar.cell;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.testkit.CellConfigurations;

/**
 * Compares bounded rendezvous hashing with modulo: how even the cells are, and how many other servers move when one
 * leaves for good.
 */
public final class DealBench {

    private static final int FLEETS = 200;

    private DealBench() {}

    public static void main(String[] args) {
        System.out.println("servers\tcells\tsmallest\tby_modulo\tmoved_by_one\tworst");
        for (int[] size : new int[][] {{15, 3}, {22, 4}, {100, 8}, {1_000, 16}, {8_000, 64}}) {
            measure(size[0], size[1]);
        }
    }

    private static void measure(int servers, int cells) {
        Random random = new Random(7);
        double smallest = 0;
        double modulo = 0;
        long moved = 0;
        int worst = 0;
        int fleets = Math.max(5, FLEETS * 100 / Math.max(100, servers));
        for (int f = 0; f < fleets; f++) {
            int first = random.nextInt(1 << 28);
            CellAssignment assignment =
                    new CellAssignment(CellConfigurations.cells(cells), CellsConfiguration.Spread.SERVER, 0);
            List<Server> fleet = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                fleet.add(CellConfigurations.server(first + i, i % 5, Phase.READY));
            }
            assignment.listed(1, ListKind.COMPLETE, fleet);
            int[] sizes = new int[cells];
            int[] sizesByModulo = new int[cells];
            for (Server s : fleet) {
                sizes[assignment.cellOf(s.id())]++;
                sizesByModulo[(int) Long.remainderUnsigned(Hashes.mix(s.id(), 1), cells)]++;
            }
            smallest += Arrays.stream(sizes).min().orElseThrow() * (double) cells / servers;
            modulo += Arrays.stream(sizesByModulo).min().orElseThrow() * (double) cells / servers;
            int leaving = random.nextInt(servers);
            int movedByOne = assignment
                    .listed(
                            2,
                            ListKind.CHANGES,
                            List.of(CellConfigurations.server(first + leaving, leaving % 5, Phase.REMOVED)))
                    .size();
            moved += movedByOne;
            worst = Math.max(worst, movedByOne);
        }
        System.out.printf(
                "%d\t%d\t%.2f\t%.2f\t%.1f\t%d%n",
                servers, cells, smallest / fleets, modulo / fleets, moved / (double) fleets, worst);
    }
}

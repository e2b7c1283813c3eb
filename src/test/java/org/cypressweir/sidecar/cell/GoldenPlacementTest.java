package org.cypressweir.sidecar.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.common.util.Ids;
import org.cypressweir.golden.Golden;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.junit.jupiter.api.Test;

/** Which cell a unit and a server fall to. */
class GoldenPlacementTest {

    private static final List<Cell> CELLS = List.of(
            new Cell("red", 2, false),
            new Cell("green", 1, false),
            new Cell("blue", 1, false),
            new Cell("spare", 0.5, true));
    private static final int UNITS = 60;
    private static final int SERVERS = 24;
    private static final int ZONES = 3;

    private static BitSet cells(int... which) {
        BitSet cells = new BitSet();
        IntStream.of(which).forEach(cells::set);
        return cells;
    }

    @Test
    void homesOfUnitsAreTheSame() {
        Placement placement = new Placement(CELLS, Map.of(), cells(0, 1, 2, 3));
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < UNITS; i++) {
            long unit = Ids.of("account-" + i);
            int home = placement.home(unit);
            lines.add("account-" + i + " " + home + " " + placement.next(unit, cells(home)));
        }
        Golden.assertSame("hashes/unit-homes.txt", lines);
    }

    @Test
    void cellsOfServersAreTheSame() {
        List<String> lines = new ArrayList<>();
        for (CellsConfiguration.Spread spread : CellsConfiguration.Spread.values()) {
            CellAssignment parting = new CellAssignment(CELLS, spread, 0);
            parting.listed(0, ListKind.COMPLETE, servers());
            servers()
                    .forEach(server ->
                            lines.add(spread.ordinal() + " " + server.id() + " " + parting.cellOf(server.id())));
        }
        Golden.assertSame("hashes/server-cells.txt", lines);
    }

    private static List<Server> servers() {
        return IntStream.range(0, SERVERS)
                .mapToObj(i -> new Server(Ids.of("server-" + i), i % ZONES, 0, i % 8, Phase.READY, 0, 1))
                .toList();
    }

    /** The state of a move is part of the answer about cells. */
    @Test
    void statesOfMovesAreTheSame() {
        assertThat(Stream.of(UnitMigration.State.values()).map(String::valueOf))
                .containsExactly("WAITING", "RAMPING", "SWITCHING", "FROZEN", "SETTLING", "DONE", "GIVEN_UP");
    }
}

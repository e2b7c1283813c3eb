package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.sidecar.cell.Cell;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.sidecar.cell.CellsConfiguration.Unit;
import org.cypressweir.sidecar.cell.MoveConfiguration;

/** Cell configurations and server lists for tests and benchmarks. */
public final class CellConfigurations {

    /** For how long servers discard repeated requests. */
    public static final long WINDOW_MICROS = 3_000_000;

    /** The longest time for which a request is pending. */
    public static final long PATIENCE_MICROS = 5_000_000;

    private CellConfigurations() {}

    /** Cells of equal share, named c0, c1, and so on. */
    public static List<Cell> cells(int count) {
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            cells.add(new Cell("c" + i, 1, false));
        }
        return cells;
    }

    /** The same, followed by a smaller reserved cell. */
    public static List<Cell> cellsAndReserve(int count) {
        List<Cell> cells = cells(count);
        cells.add(new Cell("q", 0.5, true));
        return cells;
    }

    public static CellsConfiguration configuration(
            List<Cell> cells, double guests, Quarantine quarantine, MoveConfiguration... moves) {
        return configuration(cells, Map.of(), guests, quarantine, moves);
    }

    public static CellsConfiguration configuration(
            List<Cell> cells,
            Map<Long, Integer> assigned,
            double guests,
            Quarantine quarantine,
            MoveConfiguration... moves) {
        return new CellsConfiguration(
                Unit.TENANT,
                null,
                cells,
                Spread.SERVER,
                60_000_000,
                assigned,
                List.of(moves),
                WINDOW_MICROS,
                PATIENCE_MICROS,
                guests,
                false,
                quarantine);
    }

    /** The same configuration, with guest requests that may write as well. */
    public static CellsConfiguration withGuestWrites(CellsConfiguration p) {
        return new CellsConfiguration(
                p.unit(),
                p.header(),
                p.cells(),
                p.spread(),
                p.reservationMicros(),
                p.assigned(),
                p.moves(),
                p.deduplicationWindowMicros(),
                p.maxRequestMicros(),
                p.maxSpilloverFraction(),
                true,
                p.quarantine());
    }

    /** A move of a unit to another cell with a freeze. */
    public static MoveConfiguration frozen(String unit, int to, long start, long freeze) {
        return new MoveConfiguration("m-" + unit, Ids.of(unit), unit, to, start, 0, 0, freeze);
    }

    public static MoveConfiguration move(String unit, int to, long start, long over, long fence) {
        return new MoveConfiguration("m-" + unit, Ids.of(unit), unit, to, start, over, fence, 0);
    }

    /** Ready servers 1 to count, assigned to the zones in turn. */
    public static List<Server> servers(int count, int zones) {
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            servers.add(server(i, i % zones, Phase.READY));
        }
        return servers;
    }

    public static Server server(long id, int zone, Phase phase) {
        return new Server(Ids.of("s-" + id), zone, 0, (int) id % 7, phase, 0, 1);
    }
}

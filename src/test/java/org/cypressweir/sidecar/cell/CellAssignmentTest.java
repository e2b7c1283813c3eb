package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.testkit.CellConfigurations;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Assignment of servers to cells: sizes, stability and agreement between sidecars. */
class CellAssignmentTest {

    private static final long RESERVATION_MICROS = 60_000_000;

    private static CellAssignment assignment(int cells, Spread spread) {
        return new CellAssignment(CellConfigurations.cells(cells), spread, RESERVATION_MICROS);
    }

    private static Map<Long, Integer> cells(CellAssignment assignment, List<Server> servers) {
        Map<Long, Integer> cells = new HashMap<>();
        servers.forEach(s -> cells.put(s.id(), assignment.cellOf(s.id())));
        return cells;
    }

    private static int[] sizes(CellAssignment assignment, List<Server> servers, int count) {
        int[] sizes = new int[count];
        servers.forEach(s -> sizes[assignment.cellOf(s.id())]++);
        return sizes;
    }

    @ParameterizedTest
    @CsvSource({"15, 3, 5", "22, 4, 5", "100, 7, 3", "1000, 16, 5", "8000, 64, 4", "9, 4, 1"})
    void cellsAreAsEvenAsWholeServersAllow(int count, int cells, int zones) {
        CellAssignment assignment = assignment(cells, Spread.SERVER);
        List<Server> servers = CellConfigurations.servers(count, zones);
        assignment.listed(1, ListKind.COMPLETE, servers);
        int[] sizes = sizes(assignment, servers, cells);
        for (int size : sizes) {
            assertTrue(size >= count / cells - 1 && size <= count / cells + 2, "sizes " + Arrays.toString(sizes));
        }
        for (int zone = 0; zone < zones; zone++) {
            int z = zone;
            List<Server> inZone = servers.stream().filter(s -> s.zone() == z).toList();
            int each = inZone.size() / cells;
            for (int size : sizes(assignment, inZone, cells)) {
                assertTrue(Math.abs(size - each) <= 2, "zone " + z + " has " + size + " for " + each);
            }
        }
    }

    @Test
    void cellSizesFollowShares() {
        List<Cell> cells = List.of(new Cell("a", 3, false), new Cell("b", 1, false), new Cell("q", 1, true));
        CellAssignment assignment = new CellAssignment(cells, Spread.SERVER, RESERVATION_MICROS);
        List<Server> servers = CellConfigurations.servers(50, 1);
        assignment.listed(1, ListKind.COMPLETE, servers);
        assertEquals(
                List.of(30, 10, 10),
                Arrays.stream(sizes(assignment, servers, 3)).boxed().toList());
    }

    /** Sidecars do not communicate, so they must agree whatever the order in which they learned of the servers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void assignmentDependsOnTheListAlone(long seed) {
        Random random = new Random(seed);
        List<Server> servers = CellConfigurations.servers(40 + random.nextInt(60), 1 + random.nextInt(5));
        CellAssignment fromCompleteList = assignment(5, Spread.SERVER);
        fromCompleteList.listed(1, ListKind.COMPLETE, servers);
        List<Server> shuffled = new ArrayList<>(servers);
        Collections.shuffle(shuffled, random);
        CellAssignment fromChanges = new CellAssignment(CellConfigurations.cells(5), Spread.SERVER, 0);
        List<Server> others =
                List.of(CellConfigurations.server(900, 0, Phase.READY), CellConfigurations.server(901, 1, Phase.READY));
        fromChanges.listed(1, ListKind.CHANGES, others);
        shuffled.forEach(s -> fromChanges.listed(2, ListKind.CHANGES, List.of(s)));
        fromChanges.listed(3, ListKind.COMPLETE, shuffled);
        fromChanges.expireReservations(4);
        assertEquals(cells(fromCompleteList, servers), cells(fromChanges, servers), "seed " + seed);
    }

    /** A rolling restart of all servers: no other server may change its cell meanwhile. */
    @Test
    void aServerThatReturnsKeepsItsCell() {
        CellAssignment assignment = assignment(4, Spread.SERVER);
        List<Server> servers = CellConfigurations.servers(30, 3);
        assignment.listed(1, ListKind.COMPLETE, servers);
        Map<Long, Integer> before = cells(assignment, servers);
        long now = 10;
        for (int i = 1; i <= 30; i++) {
            Server gone = CellConfigurations.server(i, i % 3, Phase.REMOVED);
            now += 1_000_000;
            assertEquals(List.of(), assignment.listed(now, ListKind.CHANGES, List.of(gone)));
            assertEquals(-1, assignment.cellOf(gone.id()));
            assertTrue(assignment.hasReservations());
            now += 20_000_000;
            assertEquals(
                    List.of(),
                    assignment.listed(
                            now, ListKind.CHANGES, List.of(CellConfigurations.server(i, i % 3, Phase.READY))));
            assertFalse(assignment.hasReservations());
        }
        assertEquals(before, cells(assignment, servers));
    }

    @Test
    void reservationsExpire() {
        CellAssignment assignment = assignment(3, Spread.SERVER);
        List<Server> servers = CellConfigurations.servers(9, 1);
        assignment.listed(1, ListKind.COMPLETE, servers);
        int cell = assignment.cellOf(servers.get(0).id());
        List<Server> others = servers.subList(1, 9);
        List<Server> twice =
                others.stream().filter(s -> assignment.cellOf(s.id()) == cell).toList();
        assignment.listed(2, ListKind.COMPLETE, others);
        List<Server> left = others.stream().filter(s -> s != twice.get(0)).toList();
        assignment.listed(3, ListKind.COMPLETE, left);
        assertEquals(1, sizes(assignment, left, 3)[cell]);
        assertEquals(List.of(), assignment.expireReservations(RESERVATION_MICROS + 1));
        List<CellAssignment.MovedServer> moved = assignment.expireReservations(RESERVATION_MICROS + 3);
        assertTrue(moved.stream().anyMatch(m -> m.to() == cell), "no server moved to the cell that lost two");
        moved.forEach(m -> assertEquals(m.to(), assignment.cellOf(m.server())));
        assertTrue(sizes(assignment, left, 3)[cell] >= 2);
    }

    /** Servers that deduplicate requests together stay in one cell. */
    @Test
    void groupsAreAssignedAsAWhole() {
        CellAssignment assignment = assignment(3, Spread.GROUP);
        List<Server> servers = CellConfigurations.servers(70, 3);
        assignment.listed(1, ListKind.COMPLETE, servers);
        Map<Integer, Set<Integer>> cells = servers.stream()
                .collect(Collectors.groupingBy(
                        Server::cell, Collectors.mapping(s -> assignment.cellOf(s.id()), Collectors.toSet())));
        assertEquals(7, cells.size());
        cells.values().forEach(c -> assertEquals(1, c.size()));
        assertEquals(3, cells.values().stream().flatMap(Set::stream).distinct().count());
    }

    @Test
    void drainingServersKeepTheirCell() {
        CellAssignment assignment = assignment(3, Spread.SERVER);
        List<Server> servers = CellConfigurations.servers(9, 1);
        assignment.listed(1, ListKind.COMPLETE, servers);
        int cell = assignment.cellOf(servers.get(4).id());
        assertEquals(
                List.of(),
                assignment.listed(2, ListKind.CHANGES, List.of(CellConfigurations.server(5, 0, Phase.DRAINING))));
        assertEquals(cell, assignment.cellOf(servers.get(4).id()));
    }

    @Test
    void withFewServersSomeCellsHaveNone() {
        CellAssignment assignment = assignment(4, Spread.SERVER);
        assignment.listed(1, ListKind.COMPLETE, CellConfigurations.servers(2, 1));
        assertEquals(2, assignment.openCells().cardinality());
        assignment.listed(2, ListKind.COMPLETE, CellConfigurations.servers(8, 1));
        assertEquals(4, assignment.openCells().cardinality());
    }

    /** One added server moves few others; hashing without bounded capacities would exceed this bound. */
    @Test
    void anAddedServerMovesFewOthers() {
        int moved = 0;
        CellAssignment assignment = assignment(10, Spread.SERVER);
        assignment.listed(1, ListKind.COMPLETE, CellConfigurations.servers(500, 5));
        for (int i = 501; i <= 600; i++) {
            moved += assignment
                    .listed(i, ListKind.CHANGES, List.of(CellConfigurations.server(i, i % 5, Phase.READY)))
                    .size();
        }
        assertTrue(moved / 100.0 < 12, "moved " + moved / 100.0 + " servers for each one added");
    }
}

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
import org.cypressweir.testkit.CellPlans;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which servers belong to which cell. */
class CellAssignmentTest {

    private static final long KEEP = 60_000_000;

    private static CellAssignment parting(int cells, Spread spread) {
        return new CellAssignment(CellPlans.cells(cells), spread, KEEP);
    }

    private static Map<Long, Integer> cells(CellAssignment parting, List<Server> servers) {
        Map<Long, Integer> cells = new HashMap<>();
        servers.forEach(s -> cells.put(s.id(), parting.cellOf(s.id())));
        return cells;
    }

    private static int[] sizes(CellAssignment parting, List<Server> servers, int count) {
        int[] sizes = new int[count];
        servers.forEach(s -> sizes[parting.cellOf(s.id())]++);
        return sizes;
    }

    @ParameterizedTest
    @CsvSource({"15, 3, 5", "22, 4, 5", "100, 7, 3", "1000, 16, 5", "8000, 64, 4", "9, 4, 1"})
    void cellsAreAsEvenAsWholeServersAllow(int count, int cells, int zones) {
        CellAssignment parting = parting(cells, Spread.SERVER);
        List<Server> servers = CellPlans.servers(count, zones);
        parting.listed(1, ListKind.COMPLETE, servers);
        int[] sizes = sizes(parting, servers, cells);
        for (int size : sizes) {
            assertTrue(size >= count / cells - 1 && size <= count / cells + 2, "sizes " + Arrays.toString(sizes));
        }
        for (int zone = 0; zone < zones; zone++) {
            int z = zone;
            List<Server> inZone = servers.stream().filter(s -> s.zone() == z).toList();
            int each = inZone.size() / cells;
            for (int size : sizes(parting, inZone, cells)) {
                assertTrue(Math.abs(size - each) <= 2, "zone " + z + " has " + size + " for " + each);
            }
        }
    }

    @Test
    void sharesSayHowManyServersACellHas() {
        List<Cell> cells = List.of(new Cell("a", 3, false), new Cell("b", 1, false), new Cell("q", 1, true));
        CellAssignment parting = new CellAssignment(cells, Spread.SERVER, KEEP);
        List<Server> servers = CellPlans.servers(50, 1);
        parting.listed(1, ListKind.COMPLETE, servers);
        assertEquals(
                List.of(30, 10, 10),
                Arrays.stream(sizes(parting, servers, 3)).boxed().toList());
    }

    /** Sidecars share nothing: whatever order they heard of servers in, they must agree. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whatComesOutHangsOnTheListAlone(long seed) {
        Random random = new Random(seed);
        List<Server> servers = CellPlans.servers(40 + random.nextInt(60), 1 + random.nextInt(5));
        CellAssignment whole = parting(5, Spread.SERVER);
        whole.listed(1, ListKind.COMPLETE, servers);
        List<Server> mixed = new ArrayList<>(servers);
        Collections.shuffle(mixed, random);
        CellAssignment grown = new CellAssignment(CellPlans.cells(5), Spread.SERVER, 0);
        List<Server> others = List.of(CellPlans.server(900, 0, Phase.READY), CellPlans.server(901, 1, Phase.READY));
        grown.listed(1, ListKind.CHANGES, others);
        mixed.forEach(s -> grown.listed(2, ListKind.CHANGES, List.of(s)));
        grown.listed(3, ListKind.COMPLETE, mixed);
        grown.sweep(4);
        assertEquals(cells(whole, servers), cells(grown, servers), "seed " + seed);
    }

    /** A release restarts servers one by one: none of the others may change its cell meanwhile. */
    @Test
    void aServerThatReturnsFindsItsPlace() {
        CellAssignment parting = parting(4, Spread.SERVER);
        List<Server> servers = CellPlans.servers(30, 3);
        parting.listed(1, ListKind.COMPLETE, servers);
        Map<Long, Integer> before = cells(parting, servers);
        long now = 10;
        for (int i = 1; i <= 30; i++) {
            Server gone = CellPlans.server(i, i % 3, Phase.REMOVED);
            now += 1_000_000;
            assertEquals(List.of(), parting.listed(now, ListKind.CHANGES, List.of(gone)));
            assertEquals(-1, parting.cellOf(gone.id()));
            assertTrue(parting.keeps());
            now += 20_000_000;
            assertEquals(
                    List.of(), parting.listed(now, ListKind.CHANGES, List.of(CellPlans.server(i, i % 3, Phase.READY))));
            assertFalse(parting.keeps());
        }
        assertEquals(before, cells(parting, servers));
    }

    @Test
    void aPlaceIsGivenUpInTime() {
        CellAssignment parting = parting(3, Spread.SERVER);
        List<Server> servers = CellPlans.servers(9, 1);
        parting.listed(1, ListKind.COMPLETE, servers);
        int cell = parting.cellOf(servers.get(0).id());
        List<Server> others = servers.subList(1, 9);
        List<Server> twice =
                others.stream().filter(s -> parting.cellOf(s.id()) == cell).toList();
        parting.listed(2, ListKind.COMPLETE, others);
        List<Server> left = others.stream().filter(s -> s != twice.get(0)).toList();
        parting.listed(3, ListKind.COMPLETE, left);
        assertEquals(1, sizes(parting, left, 3)[cell]);
        assertEquals(List.of(), parting.sweep(KEEP + 1));
        List<CellAssignment.Moved> moved = parting.sweep(KEEP + 3);
        assertTrue(moved.stream().anyMatch(m -> m.to() == cell), "nobody fills the hole");
        moved.forEach(m -> assertEquals(m.to(), parting.cellOf(m.server())));
        assertTrue(sizes(parting, left, 3)[cell] >= 2);
    }

    /** Servers that drop each other's repeats stay together. */
    @Test
    void groupsAreDealtOutWhole() {
        CellAssignment parting = parting(3, Spread.GROUP);
        List<Server> servers = CellPlans.servers(70, 3);
        parting.listed(1, ListKind.COMPLETE, servers);
        Map<Integer, Set<Integer>> cells = servers.stream()
                .collect(Collectors.groupingBy(
                        Server::cell, Collectors.mapping(s -> parting.cellOf(s.id()), Collectors.toSet())));
        assertEquals(7, cells.size());
        cells.values().forEach(c -> assertEquals(1, c.size()));
        assertEquals(3, cells.values().stream().flatMap(Set::stream).distinct().count());
    }

    @Test
    void drainingServersKeepTheirCell() {
        CellAssignment parting = parting(3, Spread.SERVER);
        List<Server> servers = CellPlans.servers(9, 1);
        parting.listed(1, ListKind.COMPLETE, servers);
        int cell = parting.cellOf(servers.get(4).id());
        assertEquals(List.of(), parting.listed(2, ListKind.CHANGES, List.of(CellPlans.server(5, 0, Phase.DRAINING))));
        assertEquals(cell, parting.cellOf(servers.get(4).id()));
    }

    @Test
    void fewServersLeaveCellsShut() {
        CellAssignment parting = parting(4, Spread.SERVER);
        parting.listed(1, ListKind.COMPLETE, CellPlans.servers(2, 1));
        assertEquals(2, parting.open().cardinality());
        parting.listed(2, ListKind.COMPLETE, CellPlans.servers(8, 1));
        assertEquals(4, parting.open().cardinality());
    }

    /** How many servers a change moves beside the one that changes: a bound that a plain deal would pass. */
    @Test
    void oneServerMoreMovesFew() {
        int moved = 0;
        CellAssignment parting = parting(10, Spread.SERVER);
        parting.listed(1, ListKind.COMPLETE, CellPlans.servers(500, 5));
        for (int i = 501; i <= 600; i++) {
            moved += parting.listed(i, ListKind.CHANGES, List.of(CellPlans.server(i, i % 5, Phase.READY)))
                    .size();
        }
        assertTrue(moved / 100.0 < 12, "moved " + moved / 100.0 + " for each that came");
    }
}

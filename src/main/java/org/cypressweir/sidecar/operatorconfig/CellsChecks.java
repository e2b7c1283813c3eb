package org.cypressweir.sidecar.operatorconfig;

import java.util.BitSet;
import java.util.List;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.cell.Cell;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.sidecar.cell.MoveConfiguration;
import org.cypressweir.sidecar.cell.Placement;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.route.StaticServer;

/** Checks the cells of a pool against its routes, servers and limits. */
final class CellsChecks {

    /** Least number of connections to servers that make a cell usable. */
    private static final int MIN_CONNECTIONS = 2;
    /** A fence may last at most this fraction (a quarter) of a write's deadline. */
    private static final int MIN_DEADLINE_TO_FENCE_RATIO = 4;
    /** A freeze must outlast the longest write by this, for clock skew and late delivery of the file. */
    private static final long FREEZE_MARGIN_MICROS = 100_000;

    private final Facts facts;
    private final PoolSection pool;
    private final CellsConfiguration configuration;
    private final Problems problems;
    private final List<RequestClass> classes;

    CellsChecks(Facts facts, OperatorsFile file, PoolSection pool, Problems problems) {
        this.facts = facts;
        this.pool = pool;
        this.problems = problems;
        configuration = pool.cells().configuration();
        classes = classes(pool, file, facts);
    }

    /** The request classes of the routes to a pool. */
    private static List<RequestClass> classes(PoolSection pool, OperatorsFile file, Facts facts) {
        return file.routes().stream()
                .filter(r -> r.pool() != null
                        && r.requestClass() != null
                        && r.pool().value().equals(pool.name()))
                .flatMap(r -> facts.requestClass(r.requestClass().value()).stream())
                .distinct()
                .toList();
    }

    /** Completes the configuration with the deduplication window and deadline of the classes of its routes. */
    static CellsConfiguration withClassLimits(PoolSection pool, OperatorsFile file, Facts facts) {
        List<RequestClass> classes = classes(pool, file, facts);
        return pool.cells()
                .configuration()
                .withRequestTimes(
                        classes.stream()
                                .filter(c -> c.effect() == Effect.KEYED)
                                .mapToLong(RequestClass::dedupWindowMicros)
                                .max()
                                .orElse(0),
                        classes.stream()
                                .mapToLong(RequestClass::deadlineMicros)
                                .max()
                                .orElse(0));
    }

    void run() {
        checkServerCount();
        checkConnections();
        checkDeduplicationGroups();
        checkGuests();
        configuration.moves().forEach(this::checkMove);
    }

    private void checkServerCount() {
        if (pool.servers() == null) {
            return;
        }
        long available = configuration.spread() == Spread.SERVER
                ? pool.servers().size()
                : pool.servers().stream().map(StaticServer::cell).distinct().count();
        if (available < configuration.cells().size()) {
            problems.add(
                    pool.cells().lineOf("names"),
                    "'names' has " + configuration.cells().size()
                            + " cells, and pool '"
                            + pool.name() + "' has " + available
                            + (configuration.spread() == Spread.SERVER ? " servers" : " groups of servers")
                            + " to deal out");
        }
    }

    private void checkConnections() {
        Setting<Long> set = pool.limits().number(LimitKey.MAX_CONNECTIONS);
        int all = set == null ? facts.serverConnections() : set.value().intValue();
        for (int c = 0; c < configuration.cells().size(); c++) {
            if (configuration.shareOf(c, all) < MIN_CONNECTIONS) {
                problems.add(
                        pool.cells().lineOf("names"),
                        "cell '" + configuration.cells().get(c).name()
                                + "' would have " + configuration.shareOf(c, all) + " of " + all
                                + " connections to servers; give"
                                + " the pool more, or have fewer cells");
                return;
            }
        }
    }

    private void checkDeduplicationGroups() {
        for (RequestClass c : classes) {
            if (c.effect() == Effect.KEYED && c.group() == Group.CELL && configuration.spread() == Spread.SERVER) {
                problems.add(
                        pool.cells().lineOf("cells"),
                        "servers drop repeats of class '" + c.name()
                                + "' within one group, which 'spread = \"server\"' would part; set"
                                + " 'spread = \"group\"'");
            }
        }
    }

    private void checkGuests() {
        if (configuration.maxSpilloverFraction() > 0
                && configuration.cells().stream().filter(c -> !c.reserved()).count() < 2) {
            problems.add(pool.cells().lineOf("cells"), "'guests' needs a second cell that is not reserved");
        }
    }

    private void checkMove(MoveConfiguration move) {
        BitSet allCells = new BitSet();
        allCells.set(0, configuration.cells().size());
        int home = new Placement(configuration.cells(), configuration.assigned(), allCells).home(move.unit());
        if (home == move.to()) {
            Cell cell = configuration.cells().get(home);
            problems.add(
                    pool.cells().lineOf("to." + move.name()),
                    "move '" + move.name() + "' does nothing: '"
                            + move.label() + "' is in cell '" + cell.name() + "' "
                            + (configuration.assigned().containsKey(move.unit()) ? "by 'assign'" : "by its hash"));
        }
        for (RequestClass c : classes) {
            if (c.effect() != Effect.SAFE && move.fenceMicros() * MIN_DEADLINE_TO_FENCE_RATIO > c.deadlineMicros()) {
                problems.add(
                        pool.cells().lineOf("fence." + move.name()),
                        "'fence' is "
                                + DurationText.format(move.fenceMicros()) + ", more than a quarter of what class '"
                                + c.name()
                                + "' has (" + DurationText.format(c.deadlineMicros()) + ")");
            }
            long minFreeze = c.deadlineMicros() + FREEZE_MARGIN_MICROS;
            if (c.effect() != Effect.SAFE && move.freezeMicros() > 0 && move.freezeMicros() < minFreeze) {
                problems.add(
                        pool.cells().lineOf("freeze." + move.name()),
                        "'freeze' is "
                                + DurationText.format(move.freezeMicros()) + "; a write of class '" + c.name()
                                + "' may run for longer, so it must be " + DurationText.format(minFreeze) + " or more");
            }
        }
    }
}

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

/** What the cells of a pool mean, held against its routes, servers and limits. */
final class CellsChecks {

    /** Connections to servers without which a cell is of no use. */
    private static final int LEAST_CONNECTIONS = 2;
    /** A fence may take this part of a write's time at most. */
    private static final int FENCE_PART = 4;
    /** What a freeze must last beside the longest write: for clocks that differ and files that come late. */
    private static final long FREEZE_MARGIN = 100_000;

    private final Facts facts;
    private final PoolSection pool;
    private final CellsConfiguration plan;
    private final Problems problems;
    private final List<RequestClass> classes;

    CellsChecks(Facts facts, OperatorsFile file, PoolSection pool, Problems problems) {
        this.facts = facts;
        this.pool = pool;
        this.problems = problems;
        plan = pool.cells().plan();
        classes = classes(pool, file, facts);
    }

    /** The classes of the routes that lead to a pool. */
    private static List<RequestClass> classes(PoolSection pool, OperatorsFile file, Facts facts) {
        return file.routes().stream()
                .filter(r -> r.pool() != null
                        && r.requestClass() != null
                        && r.pool().value().equals(pool.name()))
                .flatMap(r -> facts.requestClass(r.requestClass().value()).stream())
                .distinct()
                .toList();
    }

    /** The plan with what the classes of its routes add. */
    static CellsConfiguration complete(PoolSection pool, OperatorsFile file, Facts facts) {
        List<RequestClass> classes = classes(pool, file, facts);
        return pool.cells()
                .plan()
                .with(
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
        servers();
        connections();
        groups();
        guests();
        plan.moves().forEach(this::move);
    }

    private void servers() {
        if (pool.servers() == null) {
            return;
        }
        long parts = plan.spread() == Spread.SERVER
                ? pool.servers().size()
                : pool.servers().stream().map(StaticServer::cell).distinct().count();
        if (parts < plan.cells().size()) {
            problems.add(
                    pool.cells().line("names"),
                    "'names' has " + plan.cells().size()
                            + " cells, and pool '"
                            + pool.name() + "' has " + parts
                            + (plan.spread() == Spread.SERVER ? " servers" : " groups of servers") + " to deal out");
        }
    }

    private void connections() {
        Setting<Long> set = pool.limits().number(LimitKey.MAX_CONNECTIONS);
        int all = set == null ? facts.serverConnections() : set.value().intValue();
        for (int c = 0; c < plan.cells().size(); c++) {
            if (plan.part(c, all) < LEAST_CONNECTIONS) {
                problems.add(
                        pool.cells().line("names"),
                        "cell '" + plan.cells().get(c).name()
                                + "' would have " + plan.part(c, all) + " of " + all + " connections to servers; give"
                                + " the pool more, or have fewer cells");
                return;
            }
        }
    }

    private void groups() {
        for (RequestClass c : classes) {
            if (c.effect() == Effect.KEYED && c.group() == Group.CELL && plan.spread() == Spread.SERVER) {
                problems.add(
                        pool.cells().line("cells"),
                        "servers drop repeats of class '" + c.name()
                                + "' within one group, which 'spread = \"server\"' would part; set"
                                + " 'spread = \"group\"'");
            }
        }
    }

    private void guests() {
        if (plan.guests() > 0
                && plan.cells().stream().filter(c -> !c.reserved()).count() < 2) {
            problems.add(pool.cells().line("cells"), "'guests' needs a second cell that is not reserved");
        }
    }

    private void move(MoveConfiguration move) {
        BitSet all = new BitSet();
        all.set(0, plan.cells().size());
        int home = new Placement(plan.cells(), plan.assigned(), all).home(move.unit());
        if (home == move.to()) {
            Cell cell = plan.cells().get(home);
            problems.add(
                    pool.cells().line("to." + move.name()),
                    "move '" + move.name() + "' does nothing: '"
                            + move.label() + "' is in cell '" + cell.name() + "' "
                            + (plan.assigned().containsKey(move.unit()) ? "by 'assign'" : "by its hash"));
        }
        for (RequestClass c : classes) {
            if (c.effect() != Effect.SAFE && move.fenceMicros() * FENCE_PART > c.deadlineMicros()) {
                problems.add(
                        pool.cells().line("fence." + move.name()),
                        "'fence' is "
                                + DurationText.text(move.fenceMicros()) + ", more than a quarter of what class '"
                                + c.name()
                                + "' has (" + DurationText.text(c.deadlineMicros()) + ")");
            }
            long least = c.deadlineMicros() + FREEZE_MARGIN;
            if (c.effect() != Effect.SAFE && move.freezeMicros() > 0 && move.freezeMicros() < least) {
                problems.add(
                        pool.cells().line("freeze." + move.name()),
                        "'freeze' is "
                                + DurationText.text(move.freezeMicros()) + "; a write of class '" + c.name()
                                + "' may run for longer, so it must be " + DurationText.text(least) + " or more");
            }
        }
    }
}

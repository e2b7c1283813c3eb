package org.cypressweir.loadbalancing;

import static org.cypressweir.common.util.Hashes.jump;
import static org.cypressweir.common.util.Hashes.mix;
import static org.cypressweir.common.util.Hashes.ranked;
import static org.cypressweir.common.util.Hashes.uniform;
import static org.cypressweir.loadbalancing.SubsetTree.ANY;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * Assigns ready servers to zones and cells in the subset tree, and requests to cells. A tenant's cells are the same
 * at every instance, so a tenant's load reaches a part of the fleet only.
 */
final class SubsetAssignment {

    /** Servers that a cell is meant to hold in each zone, and how far a tenant's cells exceed its share. */
    private static final double CELL_PER_ZONE = 4;

    private static final double OPEN_CELLS = 3;
    /** Part of the count of cells that another count must differ by to be taken over. */
    private static final double CELL_SLACK = 1.0 / 8;
    /** Servers looked at in one go after that, so that another count never stops the loop for long. */
    static final int RELABEL_BATCH = 128;
    /** A key is weighed against so many cells. */
    private static final int MAX_WEIGHED = 32;

    private static final int CELL_LABEL = 1;
    private static final int LABELS = 2;
    private static final int[] ONLY_CELL = {0};

    private final BalancerContext context;
    private final int zones;
    private final int tenants;
    /** The ready servers by zone and cell. */
    final SubsetTree<Backend> tree = new SubsetTree<>(LABELS);
    /** Servers that the count of cells may move and that are still in their old cell. */
    private final ArrayDeque<Backend> unsettled = new ArrayDeque<>();
    /** The nodes that a request of a cell walks, until the tree or the zone used is another. */
    private final Map<Integer, List<IndexedMembers<Backend>>> paths = new HashMap<>();

    private int[][] tenantCells = new int[0][];
    private int[][] ownCells = new int[0][];
    private int cells;
    /** The zone that requests of this instance are sent to first. */
    int homeZone;

    SubsetAssignment(BalancerContext context) {
        this.context = context;
        zones = Math.max(1, context.settings.zones().size());
        tenants = Math.max(1, context.settings.tenants().size());
    }

    /** The nodes that a request walks, from its zone and cell to all servers. */
    List<IndexedMembers<Backend>> path(PendingRequest request) {
        return paths.computeIfAbsent(
                request.cell % cells,
                cell -> List.of(
                        tree.node(homeZone, cell),
                        tree.node(ANY, cell),
                        tree.node(homeZone, ANY),
                        tree.node(ANY, ANY)));
    }

    /** Takes a server to where it belongs in the tree: out of it, or in under its zone and cell. */
    void place(Backend backend) {
        if (backend.isIn()) tree.remove(backend);
        if (backend.isReady) {
            int zone = backend.server.zone();
            int label = zone < zones ? Math.max(ANY, zone) : ANY;
            tree.add(backend, context.hasManyInstances ? backend.order : mix(backend.id, -1), label, cell(backend));
        }
    }

    private int cell(Backend backend) {
        return jump(mix(backend.id, 0), Math.max(1, cells));
    }

    /** After a change of the servers: the count of cells and what hangs on it. Another count moves servers, so it
     * is taken over only where it differs by more than a part: a list that flaps does not move a fleet. Returns
     * whether {@link #relabel} is to be called soon. */
    boolean settle() {
        int count = tree.size();
        int wanted = Math.max(count < 4 ? 1 : 2, (int) (0.5 + count / (CELL_PER_ZONE * zones)));
        boolean many = context.settings.replicas() > count;
        boolean isStale =
                many != context.hasManyInstances || cells == 0 || Math.abs(wanted - cells) > cells * CELL_SLACK;
        boolean unfinished = isStale && rebuild(wanted, many);
        int zone = findHomeZone();
        if (zone != homeZone) paths.clear();
        homeZone = zone;
        return unfinished;
    }

    private boolean rebuild(int count, boolean many) {
        boolean isOther = count != cells;
        boolean wasIdle = unsettled.isEmpty();
        boolean reordered = many != context.hasManyInstances;
        if (reordered) tree.clear();
        unsettled.clear();
        unsettled.addAll(context.backends.all());
        int most = reordered ? unsettled.size() : RELABEL_BATCH;
        context.hasManyInstances = many;
        cells = count;
        paths.clear();
        if (isOther) openCells();
        return (wasIdle || most > RELABEL_BATCH) && relabel(most);
    }

    /** Moves so many more servers to their cells; whether others are left. */
    boolean relabel(int most) {
        for (int i = 0; i < most && !unsettled.isEmpty(); i++) {
            Backend backend = unsettled.pollFirst();
            if (backend.isReady && (!backend.isIn() || backend.labels[CELL_LABEL] != cell(backend))) place(backend);
        }
        return !unsettled.isEmpty();
    }

    /** Where a tenant's cells hold more servers than this instance can keep connections to, it uses some of them
     * only, others than the next instance does. */
    void openCells() {
        tenantCells = new int[tenants][];
        ownCells = new int[tenants][];
        int most = (int) Math.max(2, context.limits.connections() / (2 * CELL_PER_ZONE));
        var shares = context.settings.tenants();
        for (int t = 0; t < tenants; t++) {
            double share = t < shares.size() ? shares.get(t).share() : 1;
            int open = Math.min(cells, Math.max(2, (int) Math.ceil(OPEN_CELLS * share * cells)));
            int[] all = IntStream.range(0, cells).toArray();
            tenantCells[t] = Arrays.copyOf(ranked(~t, all), open);
            ownCells[t] = open <= most
                    ? tenantCells[t]
                    : Arrays.copyOf(ranked(context.settings.rank(), tenantCells[t]), most);
        }
    }

    /** The cell that a request begins in: by its key, by this instance's rank, or by chance. */
    int chooseCell(PendingRequest request) {
        int[][] cellsByTenant = context.isByKey(request) ? tenantCells : ownCells;
        int[] open = cells == 0 ? ONLY_CELL : cellsByTenant[request.tenant];
        if (context.isByKey(request)) return first(request.request.key(), open);
        if (context.hasManyInstances) return first(context.settings.rank(), open);
        return open[context.random.nextInt(open.length)];
    }

    /** One of these cells by the id, in proportion to its servers in the home zone: weighted rendezvous, or, where
     * they are many, the first of a row of hashed cells that a hash lets in by its weight. */
    private int first(long id, int[] among) {
        int best = among[0];
        double bestScore = Double.NEGATIVE_INFINITY;
        boolean many = among.length > MAX_WEIGHED;
        for (int i = 0; i < Math.min(MAX_WEIGHED, among.length); i++) {
            int cell = many ? among[jump(mix(id, i), among.length)] : among[i];
            int weight = tree.node(homeZone, cell).size();
            if (many && uniform(id, ~i) * 2 * CELL_PER_ZONE < weight) return cell;
            double score = Math.log(uniform(id, cell)) / (weight + 0.01);
            best = score > bestScore ? cell : best;
            bestScore = Math.max(bestScore, score);
        }
        return best;
    }

    /** The zone used: where the own has too few servers, some settle elsewhere. Harm: needless crossings. */
    private int findHomeZone() {
        double fair = tree.size() / (double) zones;
        int own = Math.min(Math.max(0, context.settings.zone()), zones - 1);
        int rank = context.settings.rank();
        if (!context.hasManyInstances || zoneSize(own) >= fair * uniform(rank, 0)) return own;
        double spare = 0;
        for (int zone = 0; zone < zones; zone++) spare += Math.max(0, zoneSize(zone) - fair);
        double left = spare * uniform(rank, 1);
        for (int zone = 0; zone < zones; zone++) {
            left -= Math.max(0, zoneSize(zone) - fair);
            if (left < 0) return zone;
        }
        return own;
    }

    private int zoneSize(int zone) {
        return tree.node(zone, ANY).size();
    }
}

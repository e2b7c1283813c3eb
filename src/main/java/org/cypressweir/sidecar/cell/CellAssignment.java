package org.cypressweir.sidecar.cell;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * Assigns servers to cells by bounded rendezvous hashing (Thaler and Ravishankar, 1998, with the capacities of
 * Mirrokni, Thorup and Zadimoghaddam, 2018): zone by zone and in the order of a hash, each server takes the cell that
 * it ranks highest among those with capacity left. The sizes of cells follow their shares as closely as whole servers
 * allow, in each zone and in total. The result depends on the server list alone, not on the changes that led to it:
 * sidecars agree without communicating, also after a restart. The place of a server that has left stays reserved for a
 * while, so that a rolling restart moves no other server.
 */
public final class CellAssignment {

    private static final long ORDER_SALT = 0x0DE1;

    /** A listed server whose cell has changed, with the indexes of the cells. */
    public record MovedServer(long server, int from, int to) {}

    /** What is assigned as a whole: a server, or a group of servers. */
    private static final class Assignable {
        final long id;
        final int zone;
        final long order;
        final byte[] ranking;
        /** How many of its servers are listed. */
        int listedServers;

        /** When the last of its servers left; only valid while none is listed. */
        long goneAt;

        int cell = -1;

        Assignable(long id, int zone, byte[] ranking) {
            this.id = id;
            this.zone = zone;
            this.ranking = ranking;
            order = Hashes.mix(id, ORDER_SALT);
        }
    }

    private record HashOrder(long hash, long id) implements Comparable<HashOrder> {
        @Override
        public int compareTo(HashOrder other) {
            return hash != other.hash ? Long.compare(hash, other.hash) : Long.compare(id, other.id);
        }
    }

    private final CellsConfiguration.Spread spread;
    private final long reservationMicros;
    private final double[] shares;
    private final long[] seeds;
    private final Map<Long, Server> serversById = new HashMap<>();
    private final Map<Long, Assignable> assignables = new HashMap<>();
    private final TreeMap<Integer, TreeMap<HashOrder, Assignable>> assignablesByZone = new TreeMap<>();
    private final BitSet openCells = new BitSet();
    private int reservedCount;

    public CellAssignment(List<Cell> cells, CellsConfiguration.Spread spread, long reservationMicros) {
        this.spread = spread;
        this.reservationMicros = reservationMicros;
        double shareSum = cells.stream().mapToDouble(Cell::share).sum();
        shares = cells.stream().mapToDouble(c -> c.share() / shareSum).toArray();
        seeds = cells.stream().mapToLong(c -> Ids.of(c.name())).toArray();
    }

    /** The index of a listed server's cell; -1 for any other server. */
    public int cellOf(long server) {
        Server listed = serversById.get(server);
        return listed == null ? -1 : assignables.get(assignableId(listed)).cell;
    }

    /** The cells that have servers, listed or with a reserved place. */
    public BitSet openCells() {
        return (BitSet) openCells.clone();
    }

    /** The number of listed servers. */
    public int size() {
        return serversById.size();
    }

    /**
     * Whether places are reserved for servers that have left; {@link #expireReservations} then has to be called now and
     * then.
     */
    public boolean hasReservations() {
        return reservedCount > 0;
    }

    /**
     * Applies a server list. Kinds and phases mean the same as for load balancers.
     *
     * @return servers that were listed before, still are, and whose cell has changed
     */
    public List<MovedServer> listed(long now, ListKind kind, List<Server> listedServers) {
        boolean changed = false;
        if (kind == ListKind.COMPLETE || kind == ListKind.CACHED) {
            Map<Long, Server> listedById = new HashMap<>();
            listedServers.forEach(s -> listedById.put(s.id(), s));
            for (Server server : List.copyOf(serversById.values())) {
                if (!listedById.containsKey(server.id())) {
                    remove(now, server);
                    changed = true;
                }
            }
        }
        for (Server server : listedServers) {
            Server before = serversById.get(server.id());
            if (server.phase() == Phase.REMOVED) {
                changed |= before != null;
                if (before != null) {
                    remove(now, before);
                }
            } else if (before == null || assignableId(before) != assignableId(server) || zone(before) != zone(server)) {
                if (before != null) {
                    remove(now, before);
                }
                add(server);
                changed = true;
            } else {
                serversById.put(server.id(), server);
            }
        }
        boolean anyExpired = dropExpired(now);
        return changed || anyExpired ? assign() : List.of();
    }

    /** Takes over the listed servers of another assignment; returns those whose cell differs from there. */
    List<MovedServer> replace(long now, CellAssignment other) {
        listed(now, ListKind.COMPLETE, List.copyOf(other.serversById.values()));
        List<MovedServer> moved = new ArrayList<>();
        for (long id : serversById.keySet()) {
            if (cellOf(id) != other.cellOf(id)) {
                moved.add(new MovedServer(id, other.cellOf(id), cellOf(id)));
            }
        }
        return moved;
    }

    /** Gives up expired reservations; returns the listed servers whose cell changes by that. */
    public List<MovedServer> expireReservations(long now) {
        return dropExpired(now) ? assign() : List.of();
    }

    private long assignableId(Server server) {
        return spread == CellsConfiguration.Spread.SERVER ? server.id() : Hashes.mix(server.cell(), 1) >>> 1;
    }

    /** Groups may span zones, so they are assigned as if there were only one zone. */
    private int zone(Server server) {
        return spread == CellsConfiguration.Spread.SERVER ? server.zone() : -1;
    }

    private void add(Server server) {
        serversById.put(server.id(), server);
        Assignable assignable = assignables.get(assignableId(server));
        if (assignable != null && assignable.zone != zone(server)) {
            // Its reserved place was in another zone.
            drop(assignable);
            assignable = null;
        }
        if (assignable == null) {
            assignable = new Assignable(assignableId(server), zone(server), ranking(assignableId(server)));
            assignables.put(assignable.id, assignable);
            assignablesByZone
                    .computeIfAbsent(assignable.zone, z -> new TreeMap<>())
                    .put(new HashOrder(assignable.order, assignable.id), assignable);
        } else if (assignable.listedServers == 0) {
            reservedCount--;
        }
        assignable.listedServers++;
    }

    private void remove(long now, Server server) {
        serversById.remove(server.id());
        Assignable assignable = assignables.get(assignableId(server));
        if (--assignable.listedServers == 0) {
            assignable.goneAt = now;
            reservedCount++;
        }
    }

    private boolean dropExpired(long now) {
        if (reservedCount == 0) {
            return false;
        }
        List<Assignable> expired = assignables.values().stream()
                .filter(assignable -> assignable.listedServers == 0 && now - assignable.goneAt >= reservationMicros)
                .toList();
        expired.forEach(this::drop);
        return !expired.isEmpty();
    }

    private void drop(Assignable assignable) {
        assignables.remove(assignable.id);
        assignablesByZone.get(assignable.zone).remove(new HashOrder(assignable.order, assignable.id));
        reservedCount -= assignable.listedServers == 0 ? 1 : 0;
    }

    private byte[] ranking(long id) {
        double[] scores = new double[shares.length];
        List<Integer> order = new ArrayList<>();
        for (int c = 0; c < shares.length; c++) {
            scores[c] = -shares[c] / Math.log(Hashes.uniform(id, seeds[c]) + 0x1.0p-54);
            order.add(c);
        }
        order.sort((a, b) -> scores[a] != scores[b] ? Double.compare(scores[b], scores[a]) : a - b);
        byte[] ranking = new byte[order.size()];
        for (int i = 0; i < ranking.length; i++) {
            ranking[i] = order.get(i).byteValue();
        }
        return ranking;
    }

    private List<MovedServer> assign() {
        Map<Assignable, Integer> movedFrom = new HashMap<>();
        double[] owed = new double[shares.length];
        openCells.clear();
        for (TreeMap<HashOrder, Assignable> zone : assignablesByZone.values()) {
            int[] capacity = capacities(zone.size(), owed);
            for (Assignable assignable : zone.values()) {
                int rank = 0;
                while (capacity[assignable.ranking[rank]] == 0) {
                    rank++;
                }
                int cell = assignable.ranking[rank];
                capacity[cell]--;
                openCells.set(cell);
                if (assignable.cell != cell && assignable.cell >= 0 && assignable.listedServers > 0) {
                    movedFrom.put(assignable, assignable.cell);
                }
                assignable.cell = cell;
            }
        }
        if (movedFrom.isEmpty()) {
            return List.of();
        }
        List<MovedServer> movedServers = new ArrayList<>();
        for (Server server : serversById.values()) {
            Assignable assignable = assignables.get(assignableId(server));
            Integer from = movedFrom.get(assignable);
            if (from != null) {
                movedServers.add(new MovedServer(server.id(), from, assignable.cell));
            }
        }
        return movedServers;
    }

    /**
     * How many places each cell gets in a zone: the integer part of what it is owed, then one more each for the cells
     * with the largest remainders. Remainders carry over to the next zone.
     */
    private int[] capacities(int places, double[] owed) {
        int[] capacities = new int[shares.length];
        int left = places;
        for (int c = 0; c < shares.length; c++) {
            owed[c] += places * shares[c];
            capacities[c] = Math.max(0, (int) Math.floor(owed[c] + 1e-9));
            capacities[c] = Math.min(capacities[c], left);
            left -= capacities[c];
            owed[c] -= capacities[c];
        }
        while (left-- > 0) {
            int mostOwed = 0;
            for (int c = 1; c < shares.length; c++) {
                if (owed[c] > owed[mostOwed] + 1e-9) {
                    mostOwed = c;
                }
            }
            capacities[mostOwed]++;
            owed[mostOwed]--;
        }
        return capacities;
    }
}

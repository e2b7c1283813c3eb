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
 * Which servers belong to which cell. Bounded rendezvous hashing (Thaler and Ravishankar, 1998, with the
 * capacities of Mirrokni, Thorup and Zadimoghaddam, 2018): in an order by hash each server takes the cell
 * that it ranks first among those with room, zone by zone. Cells are as even as whole servers allow, in each
 * zone and together. What comes out hangs on the list alone, not on how it came about: sidecars that share
 * nothing agree, and so does one that has restarted. A server that is gone keeps its place for a while, so
 * that a release that restarts servers one by one moves none of the others.
 */
public final class CellAssignment {

    private static final long ORDER_SALT = 0x0DE1;

    /** A change of the cell of a server that stays. */
    public record Moved(long server, int from, int to) {}

    /** What is dealt out as one: a server, or a group of them. */
    private static final class Place {
        final long id;
        final int zone;
        final long order;
        final byte[] ranking;
        /** Servers of it on the list; when the last went, if none is. */
        int servers;

        long goneAt;
        int cell = -1;

        Place(long id, int zone, byte[] ranking) {
            this.id = id;
            this.zone = zone;
            this.ranking = ranking;
            order = Hashes.mix(id, ORDER_SALT);
        }
    }

    private record Order(long hash, long id) implements Comparable<Order> {
        @Override
        public int compareTo(Order o) {
            return hash != o.hash ? Long.compare(hash, o.hash) : Long.compare(id, o.id);
        }
    }

    private final CellsConfiguration.Spread spread;
    private final long keepMicros;
    private final double[] shares;
    private final long[] seeds;
    private final Map<Long, Server> servers = new HashMap<>();
    private final Map<Long, Place> places = new HashMap<>();
    private final TreeMap<Integer, TreeMap<Order, Place>> zones = new TreeMap<>();
    private final BitSet open = new BitSet();
    private int kept;

    public CellAssignment(List<Cell> cells, CellsConfiguration.Spread spread, long keepMicros) {
        this.spread = spread;
        this.keepMicros = keepMicros;
        double sum = cells.stream().mapToDouble(Cell::share).sum();
        shares = cells.stream().mapToDouble(c -> c.share() / sum).toArray();
        seeds = cells.stream().mapToLong(c -> Ids.of(c.name())).toArray();
    }

    /** The cell of a server on the list; -1 for any other. */
    public int cellOf(long server) {
        Server s = servers.get(server);
        return s == null ? -1 : places.get(key(s)).cell;
    }

    /** Cells that have places to their name, whether their servers are up or not. */
    public BitSet open() {
        return (BitSet) open.clone();
    }

    /** Servers on the list. */
    public int size() {
        return servers.size();
    }

    /** Whether places are kept for servers that are gone: {@link #sweep} is then to be called at times. */
    public boolean keeps() {
        return kept > 0;
    }

    /**
     * Takes over what a list says. Kinds and phases are as the modules are told them.
     *
     * @return servers that were and still are on the list and whose cell has changed
     */
    public List<Moved> listed(long now, ListKind kind, List<Server> lines) {
        boolean changed = false;
        if (kind == ListKind.COMPLETE || kind == ListKind.CACHED) {
            Map<Long, Server> named = new HashMap<>();
            lines.forEach(s -> named.put(s.id(), s));
            for (Server s : List.copyOf(servers.values())) {
                if (!named.containsKey(s.id())) {
                    remove(now, s);
                    changed = true;
                }
            }
        }
        for (Server s : lines) {
            Server before = servers.get(s.id());
            if (s.phase() == Phase.REMOVED) {
                changed |= before != null;
                if (before != null) {
                    remove(now, before);
                }
            } else if (before == null || key(before) != key(s) || zone(before) != zone(s)) {
                if (before != null) {
                    remove(now, before);
                }
                add(s);
                changed = true;
            } else {
                servers.put(s.id(), s);
            }
        }
        boolean given = expired(now);
        return changed || given ? deal() : List.of();
    }

    /** Takes over all servers and kept places of another; what lies in another cell than there. */
    List<Moved> instead(long now, CellAssignment other) {
        listed(now, ListKind.COMPLETE, List.copyOf(other.servers.values()));
        List<Moved> moved = new ArrayList<>();
        for (long id : servers.keySet()) {
            if (cellOf(id) != other.cellOf(id)) {
                moved.add(new Moved(id, other.cellOf(id), cellOf(id)));
            }
        }
        return moved;
    }

    /** Gives up the places of servers that have been gone for too long. */
    public List<Moved> sweep(long now) {
        return expired(now) ? deal() : List.of();
    }

    private long key(Server s) {
        return spread == CellsConfiguration.Spread.SERVER ? s.id() : Hashes.mix(s.cell(), 1) >>> 1;
    }

    /** Groups may span zones; they are dealt out as if there were one. */
    private int zone(Server s) {
        return spread == CellsConfiguration.Spread.SERVER ? s.zone() : -1;
    }

    private void add(Server s) {
        servers.put(s.id(), s);
        Place place = places.get(key(s));
        if (place != null && place.zone != zone(s)) {
            // Its kept place was in another zone.
            drop(place);
            place = null;
        }
        if (place == null) {
            place = new Place(key(s), zone(s), ranking(key(s)));
            places.put(place.id, place);
            zones.computeIfAbsent(place.zone, z -> new TreeMap<>()).put(new Order(place.order, place.id), place);
        } else if (place.servers == 0) {
            kept--;
        }
        place.servers++;
    }

    private void remove(long now, Server s) {
        servers.remove(s.id());
        Place place = places.get(key(s));
        if (--place.servers == 0) {
            place.goneAt = now;
            kept++;
        }
    }

    private boolean expired(long now) {
        if (kept == 0) {
            return false;
        }
        List<Place> over = places.values().stream()
                .filter(p -> p.servers == 0 && now - p.goneAt >= keepMicros)
                .toList();
        over.forEach(this::drop);
        return !over.isEmpty();
    }

    private void drop(Place place) {
        places.remove(place.id);
        zones.get(place.zone).remove(new Order(place.order, place.id));
        kept -= place.servers == 0 ? 1 : 0;
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

    private List<Moved> deal() {
        Map<Place, Integer> moved = new HashMap<>();
        double[] due = new double[shares.length];
        open.clear();
        for (TreeMap<Order, Place> zone : zones.values()) {
            int[] room = room(zone.size(), due);
            for (Place p : zone.values()) {
                int to = 0;
                while (room[p.ranking[to]] == 0) {
                    to++;
                }
                int cell = p.ranking[to];
                room[cell]--;
                open.set(cell);
                if (p.cell != cell && p.cell >= 0 && p.servers > 0) {
                    moved.put(p, p.cell);
                }
                p.cell = cell;
            }
        }
        if (moved.isEmpty()) {
            return List.of();
        }
        List<Moved> all = new ArrayList<>();
        for (Server s : servers.values()) {
            Place p = places.get(key(s));
            Integer from = moved.get(p);
            if (from != null) {
                all.add(new Moved(s.id(), from, p.cell));
            }
        }
        return all;
    }

    /** Room of each cell in a zone: whole parts first, then one each to those that are owed the most. */
    private int[] room(int count, double[] due) {
        int[] room = new int[shares.length];
        int left = count;
        for (int c = 0; c < shares.length; c++) {
            due[c] += count * shares[c];
            room[c] = Math.max(0, (int) Math.floor(due[c] + 1e-9));
            room[c] = Math.min(room[c], left);
            left -= room[c];
            due[c] -= room[c];
        }
        while (left-- > 0) {
            int most = 0;
            for (int c = 1; c < shares.length; c++) {
                if (due[c] > due[most] + 1e-9) {
                    most = c;
                }
            }
            room[most]++;
            due[most]--;
        }
        return room;
    }
}

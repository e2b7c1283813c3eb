package larkbank.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import larkbank.LoadBalancer.ListKind;
import larkbank.LoadBalancer.Phase;
import larkbank.LoadBalancer.Server;

/**
 * Hands what discovery tells to the pools. A large list goes in slices, a turn of the loop each, as changes
 * against what is known: first what leaves, then the rest. What comes meanwhile waits its turn, so that all
 * is
 * taken over in the order in which it was told.
 */
final class ListFeed {

    /** Entries in one turn of the loop. */
    static final int SLICE = 256;

    private final EventLoop loop;
    private final Layout layout;
    private final ArrayDeque<Runnable> steps = new ArrayDeque<>();

    ListFeed(EventLoop loop, Layout layout) {
        this.loop = loop;
        this.layout = layout;
    }

    void take(ServerList list) {
        step(() -> {
            if (list.entries().size() <= SLICE) {
                hand(list.complete() ? ListKind.COMPLETE : ListKind.CHANGES, list);
            } else {
                slice(list);
            }
        });
    }

    /** Discovery can't be reached. */
    void failed() {
        step(() -> layout.discovered().forEach(Pool::failed));
    }

    private void hand(ListKind kind, ServerList list) {
        layout.discovered().forEach(pool -> pool.listed(kind, list));
    }

    /** At once where nothing waits. */
    private void step(Runnable step) {
        boolean idle = steps.isEmpty();
        steps.addLast(step);
        if (idle) {
            next();
        }
    }

    private void next() {
        // It stays at the head while it runs, so that what it adds or what comes waits behind it.
        try {
            steps.peekFirst().run();
        } finally {
            steps.pollFirst();
            if (!steps.isEmpty()) {
                loop.execute(this::next);
            }
        }
    }

    private void slice(ServerList list) {
        List<ServerList.Entry> ordered = new ArrayList<>();
        if (list.complete()) {
            ordered.addAll(absent(list));
        }
        list.entries().stream().filter(e -> e.server().phase() != Phase.READY).forEach(ordered::add);
        list.entries().stream().filter(e -> e.server().phase() == Phase.READY).forEach(ordered::add);
        // Before what has come since: these are older.
        List<Runnable> waiting = new ArrayList<>(steps);
        steps.clear();
        steps.addLast(waiting.get(0));
        for (int from = 0; from < ordered.size(); from += SLICE) {
            List<ServerList.Entry> part = ordered.subList(from, Math.min(ordered.size(), from + SLICE));
            ServerList changes = new ServerList(list.revision(), false, part);
            steps.addLast(() -> hand(ListKind.CHANGES, changes));
        }
        steps.addAll(waiting.subList(1, waiting.size()));
    }

    /** What is known and not on the whole list, as gone. */
    private List<ServerList.Entry> absent(ServerList list) {
        Set<Long> named = new HashSet<>();
        list.entries().forEach(e -> named.add(e.server().id()));
        List<ServerList.Entry> absent = new ArrayList<>();
        layout.discovered().stream().findFirst().ifPresent(pool -> pool.list().entries().forEach(e -> {
            Server s = e.server();
            if (!named.contains(s.id())) {
                absent.add(new ServerList.Entry(new Server(s.id(), s.zone(), s.kind(), s.cell(),
                        Phase.REMOVED,
                        s.startMicros(), s.weight()), e.address()));
            }
        }));
        return absent;
    }
}

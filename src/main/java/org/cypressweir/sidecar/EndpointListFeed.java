package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;

/**
 * Hands what discovery tells to the pools. A large list goes in slices, a turn of the loop each, as changes
 * against what is known: first what leaves, then the rest. What comes meanwhile waits its turn, so that all
 * is
 * taken over in the order in which it was told.
 */
final class EndpointListFeed {

    /** Entries in one turn of the loop. */
    static final int SLICE = 128;

    private final EventLoop loop;
    private final Layout layout;
    private final ArrayDeque<Runnable> steps = new ArrayDeque<>();

    EndpointListFeed(EventLoop loop, Layout layout) {
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

    /** Whether all that has come is taken over. */
    boolean settled() {
        return steps.isEmpty();
    }

    /** Discovery can't be reached. */
    void failed() {
        step(() -> layout.discovered().forEach(Cluster::failed));
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

    /** Compares, sorts and cuts, each in a turn of its own. */
    private void slice(ServerList list) {
        List<ServerList.Entry> ordered = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        Runnable name = () -> list.entries().forEach(e -> named.add(e.server().id()));
        Runnable compare = () ->
                layout.discovered().stream().findFirst().ifPresent(pool -> ordered.addAll(absent(pool.list(), named)));
        Runnable cut = () -> {
            list.entries().stream()
                    .filter(e -> e.server().phase() != Phase.READY)
                    .forEach(ordered::add);
            list.entries().stream()
                    .filter(e -> e.server().phase() == Phase.READY)
                    .forEach(ordered::add);
            first(cut(list.revision(), ordered));
        };
        first(list.complete() ? List.of(name, compare, cut) : List.of(cut));
    }

    private List<Runnable> cut(long revision, List<ServerList.Entry> entries) {
        List<Runnable> slices = new ArrayList<>();
        for (int from = 0; from < entries.size(); from += SLICE) {
            List<ServerList.Entry> part = entries.subList(from, Math.min(entries.size(), from + SLICE));
            ServerList changes = new ServerList(revision, false, part);
            slices.add(() -> hand(ListKind.CHANGES, changes));
        }
        return slices;
    }

    /** Right after the step that runs, before what has come since: that is newer. */
    private void first(List<Runnable> next) {
        Runnable running = steps.pollFirst();
        for (int i = next.size() - 1; i >= 0; i--) {
            steps.addFirst(next.get(i));
        }
        steps.addFirst(running);
    }

    /** What is known and not named, as gone. */
    private static List<ServerList.Entry> absent(ServerList known, Set<Long> named) {
        List<ServerList.Entry> absent = new ArrayList<>();
        known.entries().forEach(e -> {
            if (!named.contains(e.server().id())) {
                absent.add(e.gone());
            }
        });
        return absent;
    }
}

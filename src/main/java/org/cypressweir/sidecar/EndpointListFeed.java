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
 * Applies discovery's lists to the pools. A large list is applied in slices, each in an event loop task of its own, as
 * changes against the known list: first the servers that leave, then the rest. Lists that arrive meanwhile are queued,
 * so that all are applied in the order of their arrival.
 */
final class EndpointListFeed {

    /** Most entries that are applied in one task of the event loop. */
    static final int MAX_SLICE_ENTRIES = 128;

    private final EventLoop loop;
    private final Layout layout;
    private final ArrayDeque<Runnable> steps = new ArrayDeque<>();

    EndpointListFeed(EventLoop loop, Layout layout) {
        this.loop = loop;
        this.layout = layout;
    }

    void apply(ServerList list) {
        enqueue(() -> {
            if (list.entries().size() <= MAX_SLICE_ENTRIES) {
                deliver(list.complete() ? ListKind.COMPLETE : ListKind.CHANGES, list);
            } else {
                slice(list);
            }
        });
    }

    /** Whether all lists that have arrived are applied. */
    boolean isSettled() {
        return steps.isEmpty();
    }

    /** Discovery can't be reached. */
    void failed() {
        enqueue(() -> layout.discoveredClusters().forEach(Cluster::discoveryFailed));
    }

    private void deliver(ListKind kind, ServerList list) {
        layout.discoveredClusters().forEach(pool -> pool.updateServers(kind, list));
    }

    /** Adds a step, which runs at once if no other is queued. */
    private void enqueue(Runnable step) {
        boolean idle = steps.isEmpty();
        steps.addLast(step);
        if (idle) {
            runNext();
        }
    }

    private void runNext() {
        // The step stays at the head of the queue while it runs, so that new steps are queued behind it.
        try {
            steps.peekFirst().run();
        } finally {
            steps.pollFirst();
            if (!steps.isEmpty()) {
                loop.execute(this::runNext);
            }
        }
    }

    /** Compares, sorts and splits a list, each in a task of its own. */
    private void slice(ServerList list) {
        List<ServerList.Entry> ordered = new ArrayList<>();
        Set<Long> listedIds = new HashSet<>();
        Runnable collectIds =
                () -> list.entries().forEach(e -> listedIds.add(e.server().id()));
        Runnable compare = () -> layout.discoveredClusters().stream()
                .findFirst()
                .ifPresent(pool -> ordered.addAll(missing(pool.serverList(), listedIds)));
        Runnable sortAndSplit = () -> {
            list.entries().stream()
                    .filter(e -> e.server().phase() != Phase.READY)
                    .forEach(ordered::add);
            list.entries().stream()
                    .filter(e -> e.server().phase() == Phase.READY)
                    .forEach(ordered::add);
            enqueueNext(split(list.revision(), ordered));
        };
        enqueueNext(list.complete() ? List.of(collectIds, compare, sortAndSplit) : List.of(sortAndSplit));
    }

    private List<Runnable> split(long revision, List<ServerList.Entry> entries) {
        List<Runnable> slices = new ArrayList<>();
        for (int from = 0; from < entries.size(); from += MAX_SLICE_ENTRIES) {
            List<ServerList.Entry> part = entries.subList(from, Math.min(entries.size(), from + MAX_SLICE_ENTRIES));
            ServerList changes = new ServerList(revision, false, part);
            slices.add(() -> deliver(ListKind.CHANGES, changes));
        }
        return slices;
    }

    /** Adds steps right behind the running one, ahead of those of newer lists. */
    private void enqueueNext(List<Runnable> next) {
        Runnable running = steps.pollFirst();
        for (int i = next.size() - 1; i >= 0; i--) {
            steps.addFirst(next.get(i));
        }
        steps.addFirst(running);
    }

    /** Known servers that the new list lacks, marked as removed. */
    private static List<ServerList.Entry> missing(ServerList known, Set<Long> listedIds) {
        List<ServerList.Entry> missing = new ArrayList<>();
        known.entries().forEach(e -> {
            if (!listedIds.contains(e.server().id())) {
                missing.add(e.asRemoved());
            }
        });
        return missing;
    }
}

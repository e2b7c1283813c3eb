package org.cypressweir.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands in each connection between processes. What goes from one to another has a fate of its own, whoever
 * has dialled. A cut is as on a network: a dial into silence hangs, an end is not heard before the join.
 */
public final class ConnectionRelay implements AutoCloseable {

    /** The fate of what one process sends to another. */
    public enum Way {
        PASS,
        /** Nothing comes; at the join all comes that was sent. */
        HOLD,
        /** Nothing comes, and at the join the connections on which something was lost are reset. */
        LOSE,
        /** All connections are reset, new ones too. */
        RESET,
        /** All connections are reset, and new ones are refused. */
        REFUSE;

        boolean isSilent() {
            return this == HOLD || this == LOSE;
        }
    }

    private record Pair(String from, String to) {}

    private record Held(long at, ByteBuffer bytes) {}

    private static final int MOST_HELD = 256 * 1024;
    private static final int FIRST_PORT = 30_000;
    private static final int BACKLOG = 1;
    private static final int CONNECT_MILLIS = 200;
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** One direction of a connection. */
    private final class Flow {
        private final Pair pair;
        private final SocketChannel in;
        private final SocketChannel out;
        private final Deque<Held> held = new ArrayDeque<>();
        private long size;
        private boolean ended;
        private boolean lost;
        private boolean closedBehind;

        private Flow(Pair pair, SocketChannel in, SocketChannel out) {
            this.pair = pair;
            this.in = in;
            this.out = out;
        }

        private void read(long now) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(32 * 1024);
            int count;
            try {
                count = in.read(bytes);
            } catch (IOException e) {
                count = -1;
            }
            if (count < 0) {
                ended = true;
            } else if (way(pair) == Way.LOSE) {
                lost |= count > 0;
            } else if (count > 0) {
                bytes.flip();
                held.add(new Held(now + delays.getOrDefault(pair, 0L), bytes));
                size += count;
            }
        }

        /** Hands on what is due; false once the connection is to be reset. */
        private boolean move(long now) throws IOException {
            if (lost && way(pair) != Way.LOSE) {
                return false;
            }
            if (way(pair) == Way.LOSE) {
                lost |= !held.isEmpty();
                held.clear();
                size = 0;
                return true;
            }
            while (way(pair) == Way.PASS && !held.isEmpty() && held.peek().at <= now) {
                ByteBuffer next = held.peek().bytes;
                size -= out.write(next);
                if (next.hasRemaining()) {
                    return true;
                }
                held.remove();
            }
            if (ended && held.isEmpty() && !closedBehind && way(pair) == Way.PASS) {
                closedBehind = true;
                out.shutdownOutput();
            }
            return true;
        }

        private boolean wantsWrite(long now) {
            return way(pair) == Way.PASS && !held.isEmpty() && held.peek().at <= now;
        }
    }

    private final class Link {
        private final Flow there;
        private final Flow back;

        private Link(Pair dialled, SocketChannel dialler, SocketChannel target) {
            there = new Flow(dialled, dialler, target);
            back = new Flow(new Pair(dialled.to, dialled.from), target, dialler);
        }

        private void watch(Flow in, Flow out, long now) {
            SelectionKey key = in.in.keyFor(selector);
            if (key != null && key.isValid()) {
                key.interestOps((in.ended || in.size > MOST_HELD ? 0 : SelectionKey.OP_READ)
                        | (out.wantsWrite(now) ? SelectionKey.OP_WRITE : 0));
            }
        }

        private boolean isOver() {
            return there.closedBehind && back.closedBehind;
        }
    }

    private final Selector selector = Selector.open();
    private final Map<String, InetSocketAddress> targets = new LinkedHashMap<>();
    private final Map<Pair, InetSocketAddress> doors = new LinkedHashMap<>();
    private final Map<Pair, ServerSocketChannel> open = new LinkedHashMap<>();
    private final Map<Pair, List<SocketChannel>> fillers = new LinkedHashMap<>();
    private final Map<Pair, Way> ways = new LinkedHashMap<>();
    private final Map<Pair, Long> delays = new LinkedHashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private final Set<String> down = new LinkedHashSet<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Connections that were reset. */
    public final AtomicLong resets = new AtomicLong();

    private final Thread thread;
    private long lookedAt;
    private volatile IOException failed;
    private volatile boolean over;

    /** @param ip where the relay listens for all of them */
    public ConnectionRelay(String ip, Map<String, InetSocketAddress> processes) throws IOException {
        targets.putAll(processes);
        for (String from : targets.keySet()) {
            for (String to : targets.keySet()) {
                if (!from.equals(to)) {
                    doors.put(new Pair(from, to), new InetSocketAddress(ip, FIRST_PORT + doors.size()));
                }
            }
        }
        down.addAll(targets.keySet());
        thread = new Thread(this::run, "line-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** Where a process dials another. */
    public InetSocketAddress door(String from, String to) {
        return doors.get(new Pair(from, to));
    }

    /** From now on; returns once it holds. */
    public void set(String from, String to, Way way) {
        act(() -> ways.put(new Pair(from, to), way));
    }

    public void delay(String from, String to, long millis) {
        act(() -> delays.put(new Pair(from, to), TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** What goes from one to these and, if both, back. */
    public void cut(String one, List<String> others, Way out, Way in) {
        for (String other : others) {
            if (!other.equals(one)) {
                set(one, other, out);
                set(other, one, in);
            }
        }
    }

    public void join() {
        act(ways::clear);
    }

    private void act(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        tasks.add(() -> {
            task.run();
            done.complete(null);
        });
        selector.wakeup();
        done.orTimeout(5, TimeUnit.SECONDS).join();
    }

    private Way way(Pair pair) {
        return ways.getOrDefault(pair, Way.PASS);
    }

    private void run() {
        try {
            while (!over) {
                for (Runnable task; (task = tasks.poll()) != null; ) {
                    task.run();
                }
                long now = System.nanoTime();
                if (now - lookedAt >= LOOK_NANOS) {
                    lookedAt = now;
                    probe();
                }
                doors();
                move(now);
                selector.select(5);
                for (SelectionKey key : selector.selectedKeys()) {
                    took(key);
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            failed = e;
        }
    }

    private void took(SelectionKey key) throws IOException {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof Pair pair) {
            if (key.isAcceptable()) {
                accept(pair);
            }
        } else if (key.attachment() instanceof Flow flow && key.isReadable()) {
            flow.read(System.nanoTime());
        }
    }

    /** Who was not there is looked for: nobody is let in before it is. */
    private void probe() throws IOException {
        for (String name : List.copyOf(down)) {
            try {
                connect(targets.get(name)).close();
                down.remove(name);
            } catch (IOException e) {
                // Still not.
            }
        }
    }

    private static SocketChannel connect(InetSocketAddress to) throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.socket().connect(to, CONNECT_MILLIS);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            return channel;
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    private void doors() throws IOException {
        for (Pair pair : doors.keySet()) {
            boolean refuses = down.contains(pair.to) || way(pair) == Way.REFUSE;
            boolean silent =
                    way(pair).isSilent() || way(new Pair(pair.to, pair.from)).isSilent();
            ServerSocketChannel door = open.get(pair);
            if (refuses && door != null) {
                free(pair);
                open.remove(pair).close();
                selector.selectNow();
            } else if (!refuses && door == null) {
                door = ServerSocketChannel.open();
                door.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                door.bind(doors.get(pair), BACKLOG);
                door.configureBlocking(false);
                door.register(selector, SelectionKey.OP_ACCEPT, pair);
                open.put(pair, door);
            }
            if (!refuses && silent != fillers.containsKey(pair)) {
                if (silent) {
                    fill(pair, door);
                } else {
                    free(pair);
                    door.keyFor(selector).interestOps(SelectionKey.OP_ACCEPT);
                }
            }
        }
    }

    /** With its queue full the system answers no dial. */
    private void fill(Pair pair, ServerSocketChannel door) throws IOException {
        door.keyFor(selector).interestOps(0);
        List<SocketChannel> all = new ArrayList<>();
        for (int i = 0; i <= BACKLOG; i++) {
            SocketChannel one = SocketChannel.open();
            one.configureBlocking(false);
            one.connect(doors.get(pair));
            all.add(one);
        }
        fillers.put(pair, all);
    }

    private void free(Pair pair) throws IOException {
        for (SocketChannel one : fillers.getOrDefault(pair, List.of())) {
            one.close();
        }
        fillers.remove(pair);
    }

    private void accept(Pair pair) throws IOException {
        SocketChannel dialler = open.get(pair).accept();
        if (dialler == null) {
            return;
        }
        if (way(pair) == Way.RESET) {
            reset(dialler);
            return;
        }
        SocketChannel target;
        try {
            target = connect(targets.get(pair.to));
        } catch (IOException e) {
            down.add(pair.to);
            reset(dialler);
            return;
        }
        Link link = new Link(pair, dialler, target);
        links.add(link);
        for (Flow flow : List.of(link.there, link.back)) {
            flow.in.setOption(StandardSocketOptions.TCP_NODELAY, true);
            flow.in.configureBlocking(false);
            flow.in.register(selector, 0, flow);
        }
    }

    private void move(long now) throws IOException {
        for (Link link : List.copyOf(links)) {
            boolean stands = cuts(link.there) && cuts(link.back);
            try {
                stands = stands && link.there.move(now) && link.back.move(now);
            } catch (IOException e) {
                stands = false;
            }
            if (!stands) {
                links.remove(link);
                reset(link.there.in);
                reset(link.back.in);
            } else if (link.isOver()) {
                links.remove(link);
                link.there.in.close();
                link.back.in.close();
            } else {
                link.watch(link.there, link.back, now);
                link.watch(link.back, link.there, now);
            }
        }
    }

    private boolean cuts(Flow flow) {
        return way(flow.pair) != Way.RESET && way(flow.pair) != Way.REFUSE;
    }

    private void reset(SocketChannel channel) throws IOException {
        resets.incrementAndGet();
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void close() throws IOException {
        over = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        for (Pair pair : List.copyOf(fillers.keySet())) {
            free(pair);
        }
        selector.close();
        if (failed != null) {
            throw new IOException("the relay ended", failed);
        }
    }
}

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
 * A TCP relay between processes that can partition them. Each direction between two processes has a mode of its own,
 * whichever of them has opened the connection. A partition behaves as on a network: a connection attempt into it hangs
 * until its time-out, and the end of a stream does not arrive before the partition heals. One thread moves all bytes;
 * the public methods may be called by any other.
 */
public final class ConnectionRelay implements AutoCloseable {

    /** What becomes of what one process sends to another. */
    public enum LinkMode {
        PASS,
        /** Nothing arrives; when the partition heals, all arrives that was sent. */
        HOLD,
        /** Nothing arrives; when the partition heals, the connections on which something was lost are reset. */
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

    private static final int MAX_HELD_BYTES = 256 * 1024;
    private static final int FIRST_PORT = 30_000;
    private static final int BACKLOG = 1;
    private static final int CONNECT_MILLIS = 200;
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

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
            } else if (mode(pair) == LinkMode.LOSE) {
                lost |= count > 0;
            } else if (count > 0) {
                bytes.flip();
                held.add(new Held(now + delays.getOrDefault(pair, 0L), bytes));
                size += count;
            }
        }

        /** Hands on what is due; false once the connection is to be reset. */
        private boolean move(long now) throws IOException {
            if (lost && mode(pair) != LinkMode.LOSE) {
                return false;
            }
            if (mode(pair) == LinkMode.LOSE) {
                lost |= !held.isEmpty();
                held.clear();
                size = 0;
                return true;
            }
            while (mode(pair) == LinkMode.PASS && !held.isEmpty() && held.peek().at <= now) {
                ByteBuffer next = held.peek().bytes;
                size -= out.write(next);
                if (next.hasRemaining()) {
                    return true;
                }
                held.remove();
            }
            if (ended && held.isEmpty() && !closedBehind && mode(pair) == LinkMode.PASS) {
                closedBehind = true;
                out.shutdownOutput();
            }
            return true;
        }

        private boolean wantsWrite(long now) {
            return mode(pair) == LinkMode.PASS && !held.isEmpty() && held.peek().at <= now;
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
                key.interestOps((in.ended || in.size > MAX_HELD_BYTES ? 0 : SelectionKey.OP_READ)
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
    private final Map<Pair, LinkMode> modes = new LinkedHashMap<>();
    private final Map<Pair, Long> delays = new LinkedHashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private final Set<String> down = new LinkedHashSet<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Callers whose tasks have run; only the relay's thread uses it. */
    private final List<CompletableFuture<Void>> awaitingEffect = new ArrayList<>();
    /** Connections that were reset. */
    public final AtomicLong resets = new AtomicLong();

    private final Thread thread;
    private long probedAt;
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
        thread = new Thread(this::run, "connection-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address at which one process reaches another through the relay. */
    public InetSocketAddress dialAddress(String from, String to) {
        return doors.get(new Pair(from, to));
    }

    /** Sets the mode of one direction; returns once it is in force. */
    public void set(String from, String to, LinkMode mode) {
        act(() -> modes.put(new Pair(from, to), mode));
    }

    /** Delays what one process sends to another. */
    public void delay(String from, String to, long millis) {
        act(() -> delays.put(new Pair(from, to), TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Sets the modes between one process and others, for what it sends and for what it receives. */
    public void partition(String one, List<String> others, LinkMode out, LinkMode in) {
        for (String other : others) {
            if (!other.equals(one)) {
                set(one, other, out);
                set(other, one, in);
            }
        }
    }

    /** Ends all partitions. */
    public void heal() {
        act(modes::clear);
    }

    /** Runs a task on the relay's thread and returns once listeners and connections follow from it. */
    private void act(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        tasks.add(() -> {
            task.run();
            awaitingEffect.add(done);
        });
        selector.wakeup();
        done.orTimeout(5, TimeUnit.SECONDS).join();
    }

    private LinkMode mode(Pair pair) {
        return modes.getOrDefault(pair, LinkMode.PASS);
    }

    private void run() {
        try {
            while (!over) {
                for (Runnable task; (task = tasks.poll()) != null; ) {
                    task.run();
                }
                long now = System.nanoTime();
                if (now - probedAt >= PROBE_INTERVAL_NANOS) {
                    probedAt = now;
                    probe();
                }
                doors();
                move(now);
                awaitingEffect.forEach(done -> done.complete(null));
                awaitingEffect.clear();
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
            boolean refuses = down.contains(pair.to) || mode(pair) == LinkMode.REFUSE;
            boolean silent =
                    mode(pair).isSilent() || mode(new Pair(pair.to, pair.from)).isSilent();
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
                    emptyQueue(pair);
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

    /** While its queue is full the system answers no dial, and the dialler tries again only after a second. */
    private void emptyQueue(Pair pair) throws IOException {
        boolean isEmpty = false;
        while (!isEmpty) {
            isEmpty = !accept(pair);
        }
    }

    private void free(Pair pair) throws IOException {
        for (SocketChannel one : fillers.getOrDefault(pair, List.of())) {
            one.close();
        }
        fillers.remove(pair);
    }

    /** Takes the next connection; returns whether there was one. */
    private boolean accept(Pair pair) throws IOException {
        SocketChannel dialler = open.get(pair).accept();
        if (dialler == null) {
            return false;
        }
        if (mode(pair) == LinkMode.RESET) {
            reset(dialler);
            return true;
        }
        SocketChannel target;
        try {
            target = connect(targets.get(pair.to));
        } catch (IOException e) {
            down.add(pair.to);
            reset(dialler);
            return true;
        }
        Link link = new Link(pair, dialler, target);
        links.add(link);
        for (Flow flow : List.of(link.there, link.back)) {
            flow.in.setOption(StandardSocketOptions.TCP_NODELAY, true);
            flow.in.configureBlocking(false);
            flow.in.register(selector, 0, flow);
        }
        return true;
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
        return mode(flow.pair) != LinkMode.RESET && mode(flow.pair) != LinkMode.REFUSE;
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

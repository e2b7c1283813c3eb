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

    /** How the relay treats the bytes and connections of one direction. */
    public enum LinkMode {
        /** Bytes are forwarded. */
        PASS,
        /** Bytes are buffered, and delivered once the partition heals. */
        HOLD,
        /** Bytes are discarded; once the partition heals, the connections that lost any are reset. */
        LOSE,
        /** Existing and new connections are reset. */
        RESET,
        /** Existing connections are reset, and new ones are refused. */
        REFUSE;

        boolean isSilent() {
            return this == HOLD || this == LOSE;
        }
    }

    private record Direction(String from, String to) {}

    private record HeldBytes(long dueNanos, ByteBuffer bytes) {}

    private static final int MAX_HELD_BYTES = 256 * 1024;
    private static final int FIRST_PORT = 30_000;
    private static final int BACKLOG = 1;
    private static final int CONNECT_MILLIS = 200;
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** One direction of a connection. */
    private final class Flow {
        private final Direction pair;
        private final SocketChannel in;
        private final SocketChannel out;
        private final Deque<HeldBytes> held = new ArrayDeque<>();
        private long heldBytes;
        private boolean ended;
        private boolean lost;
        private boolean outputClosed;

        private Flow(Direction pair, SocketChannel in, SocketChannel out) {
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
                held.add(new HeldBytes(now + delays.getOrDefault(pair, 0L), bytes));
                heldBytes += count;
            }
        }

        /** Forwards the bytes that are due; returns false if the connection is to be reset. */
        private boolean forward(long now) throws IOException {
            if (lost && mode(pair) != LinkMode.LOSE) {
                return false;
            }
            if (mode(pair) == LinkMode.LOSE) {
                lost |= !held.isEmpty();
                held.clear();
                heldBytes = 0;
                return true;
            }
            while (mode(pair) == LinkMode.PASS && !held.isEmpty() && held.peek().dueNanos <= now) {
                ByteBuffer next = held.peek().bytes;
                heldBytes -= out.write(next);
                if (next.hasRemaining()) {
                    return true;
                }
                held.remove();
            }
            if (ended && held.isEmpty() && !outputClosed && mode(pair) == LinkMode.PASS) {
                outputClosed = true;
                out.shutdownOutput();
            }
            return true;
        }

        private boolean wantsWrite(long now) {
            return mode(pair) == LinkMode.PASS && !held.isEmpty() && held.peek().dueNanos <= now;
        }
    }

    private final class Link {
        private final Flow clientToTarget;
        private final Flow targetToClient;

        private Link(Direction direction, SocketChannel client, SocketChannel target) {
            clientToTarget = new Flow(direction, client, target);
            targetToClient = new Flow(new Direction(direction.to, direction.from), target, client);
        }

        private void updateInterest(Flow incoming, Flow outgoing, long now) {
            SelectionKey key = incoming.in.keyFor(selector);
            if (key != null && key.isValid()) {
                key.interestOps((incoming.ended || incoming.heldBytes > MAX_HELD_BYTES ? 0 : SelectionKey.OP_READ)
                        | (outgoing.wantsWrite(now) ? SelectionKey.OP_WRITE : 0));
            }
        }

        private boolean isFinished() {
            return clientToTarget.outputClosed && targetToClient.outputClosed;
        }
    }

    private final Selector selector = Selector.open();
    private final Map<String, InetSocketAddress> targets = new LinkedHashMap<>();
    private final Map<Direction, InetSocketAddress> listenAddresses = new LinkedHashMap<>();
    private final Map<Direction, ServerSocketChannel> listeners = new LinkedHashMap<>();
    private final Map<Direction, List<SocketChannel>> queueFillers = new LinkedHashMap<>();
    private final Map<Direction, LinkMode> modes = new LinkedHashMap<>();
    private final Map<Direction, Long> delays = new LinkedHashMap<>();
    private final Set<Link> links = new LinkedHashSet<>();
    private final Set<String> unreachable = new LinkedHashSet<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    /** Callers whose tasks have run but are not in force yet; only the relay's thread uses it. */
    private final List<CompletableFuture<Void>> pendingCallers = new ArrayList<>();
    /** How many sockets were reset. */
    public final AtomicLong resets = new AtomicLong();

    private final Thread thread;
    private long probedAt;
    private volatile IOException failed;
    private volatile boolean closed;

    /**
     * Starts a relay between processes.
     *
     * @param ip the address at which the relay listens, on one port for each direction
     * @param processes the addresses of the processes, by name
     */
    public ConnectionRelay(String ip, Map<String, InetSocketAddress> processes) throws IOException {
        targets.putAll(processes);
        for (String from : targets.keySet()) {
            for (String to : targets.keySet()) {
                if (!from.equals(to)) {
                    listenAddresses.put(
                            new Direction(from, to), new InetSocketAddress(ip, FIRST_PORT + listenAddresses.size()));
                }
            }
        }
        unreachable.addAll(targets.keySet());
        thread = new Thread(this::run, "connection-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address at which one process reaches another through the relay. */
    public InetSocketAddress dialAddress(String from, String to) {
        return listenAddresses.get(new Direction(from, to));
    }

    /** Sets the mode of one direction; returns once listeners and connections follow it. */
    public void set(String from, String to, LinkMode mode) {
        runOnRelayThread(() -> modes.put(new Direction(from, to), mode));
    }

    /** Delays the bytes that one process sends to another. */
    public void delay(String from, String to, long millis) {
        runOnRelayThread(() -> delays.put(new Direction(from, to), TimeUnit.MILLISECONDS.toNanos(millis)));
    }

    /** Sets the modes between one process and others: one for what it sends, one for what it receives. */
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
        runOnRelayThread(modes::clear);
    }

    /** Runs a task on the relay's thread; returns once listeners and connections follow from it. */
    private void runOnRelayThread(Runnable task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        tasks.add(() -> {
            task.run();
            pendingCallers.add(done);
        });
        selector.wakeup();
        done.orTimeout(5, TimeUnit.SECONDS).join();
    }

    private LinkMode mode(Direction pair) {
        return modes.getOrDefault(pair, LinkMode.PASS);
    }

    private void run() {
        try {
            while (!closed) {
                for (Runnable task; (task = tasks.poll()) != null; ) {
                    task.run();
                }
                long now = System.nanoTime();
                if (now - probedAt >= PROBE_INTERVAL_NANOS) {
                    probedAt = now;
                    probeTargets();
                }
                updateListeners();
                forward(now);
                pendingCallers.forEach(done -> done.complete(null));
                pendingCallers.clear();
                selector.select(5);
                for (SelectionKey key : selector.selectedKeys()) {
                    handleKey(key);
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            failed = e;
        }
    }

    private void handleKey(SelectionKey key) throws IOException {
        if (!key.isValid()) {
            return;
        }
        if (key.attachment() instanceof Direction pair) {
            if (key.isAcceptable()) {
                accept(pair);
            }
        } else if (key.attachment() instanceof Flow flow && key.isReadable()) {
            flow.read(System.nanoTime());
        }
    }

    /** Connects to the targets that were unreachable: the relay listens for a target only once it is reachable. */
    private void probeTargets() throws IOException {
        for (String name : List.copyOf(unreachable)) {
            try {
                connect(targets.get(name)).close();
                unreachable.remove(name);
            } catch (IOException e) {
                // Still unreachable.
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

    private void updateListeners() throws IOException {
        for (Direction pair : listenAddresses.keySet()) {
            boolean isRefused = unreachable.contains(pair.to) || mode(pair) == LinkMode.REFUSE;
            boolean isSilent = mode(pair).isSilent()
                    || mode(new Direction(pair.to, pair.from)).isSilent();
            ServerSocketChannel listener = listeners.get(pair);
            if (isRefused && listener != null) {
                closeQueueFillers(pair);
                listeners.remove(pair).close();
                selector.selectNow();
            } else if (!isRefused && listener == null) {
                listener = ServerSocketChannel.open();
                listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                listener.bind(listenAddresses.get(pair), BACKLOG);
                listener.configureBlocking(false);
                listener.register(selector, SelectionKey.OP_ACCEPT, pair);
                listeners.put(pair, listener);
            }
            if (!isRefused && isSilent != queueFillers.containsKey(pair)) {
                if (isSilent) {
                    fillAcceptQueue(pair, listener);
                } else {
                    closeQueueFillers(pair);
                    drainAcceptQueue(pair);
                    listener.keyFor(selector).interestOps(SelectionKey.OP_ACCEPT);
                }
            }
        }
    }

    /** Fills the accept queue of a listener, so that the kernel leaves further connection attempts unanswered. */
    private void fillAcceptQueue(Direction pair, ServerSocketChannel listener) throws IOException {
        listener.keyFor(selector).interestOps(0);
        List<SocketChannel> all = new ArrayList<>();
        for (int i = 0; i <= BACKLOG; i++) {
            SocketChannel one = SocketChannel.open();
            one.configureBlocking(false);
            one.connect(listenAddresses.get(pair));
            all.add(one);
        }
        queueFillers.put(pair, all);
    }

    /**
     * Accepts all queued connections. Without this, attempts to connect would go unanswered until the queue has room,
     * and a client repeats an unanswered attempt only after a second.
     */
    private void drainAcceptQueue(Direction pair) throws IOException {
        boolean isEmpty = false;
        while (!isEmpty) {
            isEmpty = !accept(pair);
        }
    }

    private void closeQueueFillers(Direction pair) throws IOException {
        for (SocketChannel one : queueFillers.getOrDefault(pair, List.of())) {
            one.close();
        }
        queueFillers.remove(pair);
    }

    /** Accepts the next connection; returns whether there was one. */
    private boolean accept(Direction pair) throws IOException {
        SocketChannel client = listeners.get(pair).accept();
        if (client == null) {
            return false;
        }
        if (mode(pair) == LinkMode.RESET) {
            reset(client);
            return true;
        }
        SocketChannel target;
        try {
            target = connect(targets.get(pair.to));
        } catch (IOException e) {
            unreachable.add(pair.to);
            reset(client);
            return true;
        }
        Link link = new Link(pair, client, target);
        links.add(link);
        for (Flow flow : List.of(link.clientToTarget, link.targetToClient)) {
            flow.in.setOption(StandardSocketOptions.TCP_NODELAY, true);
            flow.in.configureBlocking(false);
            flow.in.register(selector, 0, flow);
        }
        return true;
    }

    private void forward(long now) throws IOException {
        for (Link link : List.copyOf(links)) {
            boolean usable = permitsConnections(link.clientToTarget) && permitsConnections(link.targetToClient);
            try {
                usable = usable && link.clientToTarget.forward(now) && link.targetToClient.forward(now);
            } catch (IOException e) {
                usable = false;
            }
            if (!usable) {
                links.remove(link);
                reset(link.clientToTarget.in);
                reset(link.targetToClient.in);
            } else if (link.isFinished()) {
                links.remove(link);
                link.clientToTarget.in.close();
                link.targetToClient.in.close();
            } else {
                link.updateInterest(link.clientToTarget, link.targetToClient, now);
                link.updateInterest(link.targetToClient, link.clientToTarget, now);
            }
        }
    }

    private boolean permitsConnections(Flow flow) {
        return mode(flow.pair) != LinkMode.RESET && mode(flow.pair) != LinkMode.REFUSE;
    }

    private void reset(SocketChannel channel) throws IOException {
        resets.incrementAndGet();
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        for (Direction pair : List.copyOf(queueFillers.keySet())) {
            closeQueueFillers(pair);
        }
        selector.close();
        if (failed != null) {
            throw new IOException("the relay's thread failed", failed);
        }
    }
}

package org.cypressweir.testkit;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A UDP relay between processes that can partition them and lose, duplicate, delay and damage datagrams. Each process
 * is reached at an address of the relay. The sender is known by its source port, so that each direction between two
 * processes can be blocked on its own.
 */
public final class DatagramRelay implements AutoCloseable {

    /** Decides whether datagrams from one process to another are forwarded; processes are given by index. */
    public interface LinkFilter {
        boolean allows(int from, int to);
    }

    /**
     * The fractions of datagrams, 0 to 1, that are lost, duplicated, delayed by up to a maximum, or corrupted by one
     * flipped bit.
     */
    public record Impairment(
            double lossRate, double duplicateRate, double delayRate, long maxDelayMillis, double corruptionRate) {
        public static final Impairment NONE = new Impairment(0, 0, 0, 0, 0);
    }

    private record DelayedDatagram(long dueNanos, int to, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final List<DatagramChannel> sockets = new ArrayList<>();
    private final List<InetSocketAddress> targets = new ArrayList<>();
    private final Map<Integer, Integer> byPort = new HashMap<>();
    private final PriorityQueue<DelayedDatagram> delayed =
            new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos, b.dueNanos));
    private final SplittableRandom random;
    private final Thread thread;
    public final AtomicLong deliveredCount = new AtomicLong();
    private volatile LinkFilter linkFilter = (from, to) -> true;
    private volatile Impairment impairment = Impairment.NONE;
    private volatile boolean closed;

    /** Starts a relay between processes that listen on these loopback ports. */
    public DatagramRelay(long seed, List<Integer> ports) throws IOException {
        random = new SplittableRandom(seed);
        for (int port : ports) {
            DatagramChannel socket = DatagramChannel.open();
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false);
            socket.register(selector, SelectionKey.OP_READ, sockets.size());
            byPort.put(port, sockets.size());
            sockets.add(socket);
            targets.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The loopback port at which the other processes reach this one. */
    public int port(int index) throws IOException {
        return ((InetSocketAddress) sockets.get(index).getLocalAddress()).getPort();
    }

    public void setLinkFilter(LinkFilter next) {
        linkFilter = next;
    }

    public void setImpairment(Impairment next) {
        impairment = next;
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(65_536);
        try {
            while (!closed) {
                long wait =
                        delayed.isEmpty() ? 50 : Math.max(1, (delayed.peek().dueNanos - System.nanoTime()) / 1_000_000);
                selector.select(Math.min(50, wait));
                for (SelectionKey key : selector.selectedKeys()) {
                    read((int) key.attachment(), buffer);
                }
                selector.selectedKeys().clear();
                while (!delayed.isEmpty() && delayed.peek().dueNanos <= System.nanoTime()) {
                    DelayedDatagram due = delayed.poll();
                    send(due.to, due.bytes);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the relay's thread failed", e);
        }
    }

    private void read(int to, ByteBuffer buffer) throws IOException {
        while (true) {
            buffer.clear();
            InetSocketAddress source;
            try {
                source = (InetSocketAddress) sockets.get(to).receive(buffer);
            } catch (IOException e) {
                // The process behind the socket no longer listens, as when a test has killed it.
                continue;
            }
            if (source == null) {
                return;
            }
            buffer.flip();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            Integer from = byPort.get(source.getPort());
            if (from != null) {
                pass(from, to, bytes);
            }
        }
    }

    private void pass(int from, int to, byte[] bytes) throws IOException {
        Impairment current = impairment;
        if (!linkFilter.allows(from, to) || random.nextDouble() < current.lossRate) {
            return;
        }
        if (random.nextDouble() < current.corruptionRate) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        for (int copies = random.nextDouble() < current.duplicateRate ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() < current.delayRate) {
                delayed.add(new DelayedDatagram(
                        System.nanoTime() + random.nextLong(current.maxDelayMillis * 1_000_000), to, bytes));
            } else {
                send(to, bytes);
            }
        }
    }

    private void send(int to, byte[] bytes) throws IOException {
        try {
            sockets.get(to).send(ByteBuffer.wrap(bytes), targets.get(to));
            deliveredCount.incrementAndGet();
        } catch (IOException e) {
            // The process does not listen: the datagram counts as delivered all the same.
            deliveredCount.incrementAndGet();
        }
    }

    /** Sends a datagram to a process from a socket that belongs to none of them. */
    public void inject(int to, byte[] bytes) throws IOException {
        try (DatagramChannel own = DatagramChannel.open()) {
            own.send(ByteBuffer.wrap(bytes), targets.get(to));
        }
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
        for (DatagramChannel socket : sockets) {
            socket.close();
        }
        selector.close();
    }
}

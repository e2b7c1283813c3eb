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

    /** Whether what one sends to another arrives; by place. */
    public interface Outage {
        boolean lets(int from, int to);
    }

    /** Parts of all datagrams, 0 to 1, that are lost, come twice, come late, or with a flipped bit. */
    public record Weather(double lost, double doubled, double late, long lateMillis, double flipped) {
        public static final Weather FAIR = new Weather(0, 0, 0, 0, 0);
    }

    private record Due(long at, int to, byte[] bytes) {}

    private final Selector selector = Selector.open();
    private final List<DatagramChannel> doors = new ArrayList<>();
    private final List<InetSocketAddress> behind = new ArrayList<>();
    private final Map<Integer, Integer> byPort = new HashMap<>();
    private final PriorityQueue<Due> late = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final SplittableRandom random;
    private final Thread thread;
    public final AtomicLong passed = new AtomicLong();
    private volatile Outage cut = (from, to) -> true;
    private volatile Weather weather = Weather.FAIR;
    private volatile boolean over;

    /** Between processes that listen on these ports. */
    public DatagramRelay(long seed, List<Integer> ports) throws IOException {
        random = new SplittableRandom(seed);
        for (int port : ports) {
            DatagramChannel door = DatagramChannel.open();
            door.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            door.configureBlocking(false);
            door.register(selector, SelectionKey.OP_READ, doors.size());
            byPort.put(port, doors.size());
            doors.add(door);
            behind.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
        thread = new Thread(this::run, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The address that others reach this one at. */
    public int port(int place) throws IOException {
        return ((InetSocketAddress) doors.get(place).getLocalAddress()).getPort();
    }

    public void cut(Outage next) {
        cut = next;
    }

    public void weather(Weather next) {
        weather = next;
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(65_536);
        try {
            while (!over) {
                long wait = late.isEmpty() ? 50 : Math.max(1, (late.peek().at - System.nanoTime()) / 1_000_000);
                selector.select(Math.min(50, wait));
                for (SelectionKey key : selector.selectedKeys()) {
                    read((int) key.attachment(), buffer);
                }
                selector.selectedKeys().clear();
                while (!late.isEmpty() && late.peek().at <= System.nanoTime()) {
                    Due due = late.poll();
                    send(due.to, due.bytes);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the relay broke", e);
        }
    }

    private void read(int to, ByteBuffer buffer) throws IOException {
        while (true) {
            buffer.clear();
            InetSocketAddress source;
            try {
                source = (InetSocketAddress) doors.get(to).receive(buffer);
            } catch (IOException e) {
                // Nobody listens behind it any more, which is what is tested.
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
        Weather now = weather;
        if (!cut.lets(from, to) || random.nextDouble() < now.lost) {
            return;
        }
        if (random.nextDouble() < now.flipped) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        for (int copies = random.nextDouble() < now.doubled ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() < now.late) {
                late.add(new Due(System.nanoTime() + random.nextLong(now.lateMillis * 1_000_000), to, bytes));
            } else {
                send(to, bytes);
            }
        }
    }

    private void send(int to, byte[] bytes) throws IOException {
        try {
            doors.get(to).send(ByteBuffer.wrap(bytes), behind.get(to));
            passed.incrementAndGet();
        } catch (IOException e) {
            // Nobody listens there.
            passed.incrementAndGet();
        }
    }

    /** Sends a datagram of the test's own to a process. */
    public void inject(int to, byte[] bytes) throws IOException {
        try (DatagramChannel own = DatagramChannel.open()) {
            own.send(ByteBuffer.wrap(bytes), behind.get(to));
        }
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
        for (DatagramChannel door : doors) {
            door.close();
        }
        selector.close();
    }
}

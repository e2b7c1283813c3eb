package org.cypressweir.common.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cypressweir.common.util.Addresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connecting, reconnecting and time-outs of a pool, over loopback and with a manually set clock. */
class PeerConnectionPoolTest {

    private static final PeerConnectionPool.Options OPTIONS =
            new PeerConnectionPool.Options(100, 1_000, 5_000, 10, 40, 5_000);
    private static final long EVENT_TIMEOUT_SECONDS = 20;
    private static final long NO_EVENT_MILLIS = 200;

    private final EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong nowMicros = new AtomicLong();
    private final PeerTransport transport = new PeerTransport(loop, nowMicros::get);
    private final BlockingQueue<String> poolEvents = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> serverMessages = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerConnection> accepted = new LinkedBlockingQueue<>();
    private final PeerConnectionPool pool = new PeerConnectionPool(
            transport, nowMicros::get, OPTIONS, () -> JsonCodec.map("t", "hello"), new RecordingListener());
    private ServerSocket silentServer;

    private final class RecordingListener implements PeerConnectionPool.Listener {
        @Override
        public void connected(String address, PeerConnection connection) {
            poolEvents.add("connected");
        }

        @Override
        public void received(String address, PeerConnection connection, Map<String, Object> header, byte[] body) {
            poolEvents.add("received " + header);
        }

        @Override
        public void disconnected(String address, PeerConnection connection) {
            poolEvents.add("disconnected");
        }

        @Override
        public void connectFailed(String address) {
            poolEvents.add("connect failed");
        }
    }

    private final class Server implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {
            accepted.add(connection);
        }

        @Override
        public void received(PeerConnection connection, Map<String, Object> header, byte[] body) {
            serverMessages.add(header.toString());
        }

        @Override
        public void closed(PeerConnection connection) {}
    }

    @BeforeEach
    void openSilentServer() throws IOException {
        silentServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void shutDown() throws IOException {
        silentServer.close();
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private String silentAddress() {
        return Addresses.text((InetSocketAddress) silentServer.getLocalSocketAddress());
    }

    private String serverAddress() throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return Addresses.text(transport.listen(anyPort, new Server()));
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void setAddresses(Set<String> addresses) throws Exception {
        onLoop(() -> {
            pool.setAddresses(addresses);
            return null;
        });
    }

    private void tickAt(long micros) throws Exception {
        nowMicros.set(micros);
        onLoop(() -> {
            pool.tick();
            return null;
        });
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void assertNoPoolEvent() throws InterruptedException {
        assertThat(poolEvents.poll(NO_EVENT_MILLIS, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void greetingIsSentFirstAndRemovedAddressesAreDisconnected() throws Exception {
        String address = serverAddress();
        setAddresses(Set.of(address));
        assertThat(next(poolEvents)).isEqualTo("connected");
        assertThat(onLoop(() -> pool.send(address, JsonCodec.map("t", "second"))))
                .isTrue();
        assertThat(next(serverMessages)).isEqualTo("{t=hello}");
        assertThat(next(serverMessages)).isEqualTo("{t=second}");
        assertThat(onLoop(pool::addresses)).containsExactly(address);

        setAddresses(Set.of());
        assertThat(next(poolEvents)).isEqualTo("disconnected");
        assertThat(onLoop(() -> pool.connection(address))).isNull();
        assertThat(onLoop(() -> pool.send(address, JsonCodec.map("t", "third"))))
                .isFalse();
        assertNoPoolEvent();
    }

    @Test
    void messagesArePassedToTheListener() throws Exception {
        setAddresses(Set.of(serverAddress()));
        assertThat(next(poolEvents)).isEqualTo("connected");
        PeerConnection server = next(accepted);
        onLoop(() -> {
            server.send(JsonCodec.map("t", "news"));
            return null;
        });
        assertThat(next(poolEvents)).isEqualTo("received {t=news}");
    }

    @Test
    void closedConnectionIsDialledAgain() throws Exception {
        setAddresses(Set.of(serverAddress()));
        assertThat(next(poolEvents)).isEqualTo("connected");
        next(accepted).close();
        assertThat(next(poolEvents)).isEqualTo("disconnected");
        assertThat(next(poolEvents)).isEqualTo("connected");
    }

    @Test
    void failedDialsBackOffToAMaximum() throws Exception {
        String closed = silentAddress();
        silentServer.close();
        setAddresses(Set.of(closed));
        assertThat(next(poolEvents)).isEqualTo("connect failed");
        long now = 0;
        for (long backoff : List.of(10, 20, 40, 40)) {
            tickAt(now + backoff - 1);
            assertNoPoolEvent();
            now += backoff;
            tickAt(now);
            assertThat(next(poolEvents)).isEqualTo("connect failed");
        }
    }

    @Test
    void idlePeerIsPinged() throws Exception {
        String address = serverAddress();
        setAddresses(Set.of(address));
        assertThat(next(poolEvents)).isEqualTo("connected");
        PeerConnection client = onLoop(() -> pool.connection(address));
        tickAt(100);
        Thread.sleep(NO_EVENT_MILLIS);
        assertThat(onLoop(client::lastReceivedMicros)).isZero();
        tickAt(101);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(EVENT_TIMEOUT_SECONDS);
        while (onLoop(client::lastReceivedMicros) != 101 && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        assertThat(onLoop(client::lastReceivedMicros)).isEqualTo(101);
    }

    @Test
    void unresponsiveConnectionIsReplacedAndLaterClosed() throws Exception {
        String address = silentAddress();
        setAddresses(Set.of(address));
        assertThat(next(poolEvents)).isEqualTo("connected");
        PeerConnection first = onLoop(() -> pool.connection(address));
        tickAt(1_000);
        assertThat(onLoop(() -> pool.isResponsive(address))).isTrue();
        assertNoPoolEvent();

        tickAt(1_001);
        assertThat(next(poolEvents)).isEqualTo("connected");
        PeerConnection second = onLoop(() -> pool.connection(address));
        assertThat(second).isNotSameAs(first);
        assertThat(onLoop(() -> pool.isResponsive(address))).isTrue();
        assertThat(first.isOpen()).isTrue();

        tickAt(5_001);
        assertThat(List.of(next(poolEvents), next(poolEvents))).containsExactlyInAnyOrder("connected", "disconnected");
        assertThat(first.isOpen()).isFalse();
        assertThat(second.isOpen()).isTrue();
        assertNoPoolEvent();
    }
}

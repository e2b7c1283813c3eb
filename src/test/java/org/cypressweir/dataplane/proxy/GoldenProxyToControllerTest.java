package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.distribution.ItemChunks;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.TenantLimit;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a proxy sends to a controller, over a real connection with a clock that stands still. */
class GoldenProxyToControllerTest {

    private static final long NOW = 5_000_000;
    private static final long RETENTION_MICROS = 1_000_000;
    private static final int TIMEOUT_SECONDS = 10;
    private static final ProxyRegistration REGISTRATION = new ProxyRegistration(
            "proxy-1",
            2_000,
            4,
            "10.0.0.5:8",
            "10.0.0.5:9",
            "zone-b",
            "till",
            false,
            new ApplicationInstance("instance-1", "till", "127.0.0.1:9000", 8, true, NOW + 1_000));
    private static final String WELCOME = "{\"t\":\"welcome\",\"life\":900,\"crew\":[],"
            + "\"control\":\"10.0.0.1:9\",\"stamp\":\"5@10.0.0.2:7\",\"age\":40}";
    private static final String ITEMS =
            "{\"t\":\"items\",\"stamp\":\"5@10.0.0.2:7\",\"from\":\"\",\"piece\":0,\"pieces\":1}";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final List<String> messages = new ArrayList<>();
    private final ConfigurationSubscriber configuration = new ConfigurationSubscriber();
    private final QuotaExchange quotas = new QuotaExchange(() -> NOW, "proxy-1", this::client, new SplittableRandom(1));
    private final EndpointDirectory directory = new EndpointDirectory(RETENTION_MICROS);
    private volatile PeerConnection controllerSide;
    private ControllerClient proxy;
    private String address;

    /** The controller's end. */
    private final class Controller implements PeerConnection.Listener {
        @Override
        public void opened(PeerConnection connection) {
            controllerSide = connection;
        }

        @Override
        public void received(PeerConnection connection, Map<String, Object> head, byte[] body) {
            received.add(new String(JsonCodec.bytes(head), StandardCharsets.UTF_8));
        }

        @Override
        public void closed(PeerConnection connection) {}
    }

    @BeforeEach
    void start() throws IOException {
        PeerTransport transport = new PeerTransport(group, () -> NOW);
        InetSocketAddress at =
                transport.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new Controller());
        address = "127.0.0.1:" + at.getPort();
        proxy = new ControllerClient(
                transport,
                () -> NOW,
                "proxy-1",
                () -> REGISTRATION,
                directory,
                configuration,
                new ReadinessGate(),
                quotas,
                new BackgroundTask(Runnable::run, Runnable::run),
                () -> {});
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void on(Runnable work) {
        loop.submit(work).syncUninterruptibly();
    }

    private void take(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            messages.add(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private void controllerSends(String json, byte[] body) {
        on(() -> controllerSide.send(RecordedPeerConnection.header(json), body, null));
    }

    private ControllerClient client() {
        return proxy;
    }

    private void askFor(String tenant, int requests) {
        for (int i = 0; i < requests; i++) {
            quotas.gate().admit(NOW, tenant, new TenantLimit(10, 5), () -> {}, retryAfter -> {});
        }
    }

    @Test
    void messagesAreTheSame() throws InterruptedException {
        on(() -> proxy.updateSeeds(Set.of(address)));
        take(4);
        controllerSends(WELCOME, new byte[0]);
        take(1);
        on(() -> {
            askFor("acme", 3);
            proxy.publishDemand();
            proxy.tick();
            quotas.giveTokens(address, Map.of("acme", 2));
        });
        take(4);
        readsItems();
        readsServersAndFollowsOnFromThere();
        Golden.assertSame("messages/proxy-to-controller.txt", messages);
    }

    private void readsItems() {
        controllerSends(
                ITEMS,
                ItemChunks.pack(List.of(new Item(ItemKey.LIMITS, 1, Map.of("perProxy", 100L))))
                        .get(0));
        controllerSends(
                "{\"t\":\"roster\",\"life\":900,\"place\":3,\"whole\":true,\"berths\":["
                        + new String(JsonCodec.bytes(REGISTRATION.toMap(NOW)), StandardCharsets.UTF_8)
                        + "],\"gone\":[]}",
                new byte[0]);
    }

    /** After the connection is lost, the proxy asks for what came after the offset that it received. */
    private void readsServersAndFollowsOnFromThere() throws InterruptedException {
        on(() -> controllerSide.close());
        take(4);
        on(() -> {
            assertThat(configuration.version()).isEqualTo(ProposalNumber.of("5@10.0.0.2:7"));
            assertThat(configuration.configuration().items()).hasSize(1);
            assertThat(proxy.controlAddress(address)).isEqualTo("10.0.0.1:9");
        });
    }
}

package org.cypressweir.testkit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Each mode of the relay does to connections what it says. */
@Timeout(20)
class ConnectionRelayTest {

    private static final int SHORT = 150;

    private ServerSocket target;
    private ConnectionRelay relay;
    private Socket near;
    private Socket far;

    @BeforeEach
    void open() throws IOException {
        SecureRandom random = new SecureRandom();
        String net = "127." + (1 + random.nextInt(254)) + "." + random.nextInt(255) + ".";
        target = new ServerSocket(0, 50, InetAddress.getByName(net + 1));
        relay = new ConnectionRelay(net + 250, Map.of("a", new InetSocketAddress(net + 2, 9), "b", (InetSocketAddress)
                target.getLocalSocketAddress()));
        target.accept().close();
        while (near == null) {
            try {
                near = dial();
            } catch (ConnectException e) {
                // The relay does not listen there yet.
                near = null;
            }
        }
        far = target.accept();
        near.setSoTimeout(5_000);
        far.setSoTimeout(5_000);
        send(near, "x");
        assertThat(far.getInputStream().read()).isEqualTo('x');
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        target.close();
        near.close();
        far.close();
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket();
        socket.connect(relay.dialAddress("a", "b"), SHORT);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void silent(Socket socket) throws IOException {
        socket.setSoTimeout(SHORT);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(5_000);
    }

    @Test
    void heldBytesArriveOnceThePartitionHealsWhileTheOtherDirectionPasses() throws IOException {
        relay.set("a", "b", ConnectionRelay.LinkMode.HOLD);
        send(near, "held");
        silent(far);
        send(far, "y");
        assertThat(near.getInputStream().read()).isEqualTo('y');
        assertThatThrownBy(this::dial).isInstanceOf(SocketTimeoutException.class);
        near.shutdownOutput();
        silent(far);
        relay.heal();
        assertThat(far.getInputStream().readAllBytes()).asString().isEqualTo("held");
        dial().close();
    }

    @Test
    void connectionsThatLostBytesAreResetOnceThePartitionHeals() throws IOException {
        relay.set("b", "a", ConnectionRelay.LinkMode.LOSE);
        send(far, "lost");
        silent(near);
        assertThatThrownBy(this::dial).isInstanceOf(SocketTimeoutException.class);
        relay.heal();
        assertThatThrownBy(() -> near.getInputStream().read()).isInstanceOf(SocketException.class);
    }

    @Test
    void resetsAndRefusesConnections() throws IOException {
        relay.set("a", "b", ConnectionRelay.LinkMode.RESET);
        assertThatThrownBy(() -> near.getInputStream().read()).isInstanceOf(SocketException.class);
        assertThatThrownBy(() -> far.getInputStream().read()).isInstanceOf(SocketException.class);
        assertThatThrownBy(() -> {
                    try (Socket again = dial()) {
                        again.setSoTimeout(5_000);
                        again.getInputStream().read();
                    }
                })
                .isInstanceOf(SocketException.class)
                .hasMessageContaining("reset");
        relay.set("a", "b", ConnectionRelay.LinkMode.REFUSE);
        assertThatThrownBy(this::dial).isInstanceOf(ConnectException.class);
        relay.heal();
        dial().close();
    }

    @Test
    void delayedBytesArriveLate() throws IOException {
        relay.delay("a", "b", 2L * SHORT);
        send(near, "z");
        silent(far);
        assertThat(far.getInputStream().read()).isEqualTo('z');
    }
}

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

/** Checks what each mode of the relay does to the bytes and connections of a direction. */
@Timeout(20)
class ConnectionRelayTest {

    private static final int SHORT_MILLIS = 150;

    private ServerSocket target;
    private ConnectionRelay relay;
    private Socket clientEnd;
    private Socket serverEnd;

    @BeforeEach
    void open() throws IOException {
        SecureRandom random = new SecureRandom();
        String networkPrefix = "127." + (1 + random.nextInt(254)) + "." + random.nextInt(255) + ".";
        target = new ServerSocket(0, 50, InetAddress.getByName(networkPrefix + 1));
        relay = new ConnectionRelay(
                networkPrefix + 250, Map.of("a", new InetSocketAddress(networkPrefix + 2, 9), "b", (InetSocketAddress)
                        target.getLocalSocketAddress()));
        target.accept().close();
        while (clientEnd == null) {
            try {
                clientEnd = dial();
            } catch (ConnectException e) {
                // The relay does not listen there yet.
                clientEnd = null;
            }
        }
        serverEnd = target.accept();
        clientEnd.setSoTimeout(5_000);
        serverEnd.setSoTimeout(5_000);
        send(clientEnd, "x");
        assertThat(serverEnd.getInputStream().read()).isEqualTo('x');
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        target.close();
        clientEnd.close();
        serverEnd.close();
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket();
        socket.connect(relay.dialAddress("a", "b"), SHORT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void assertReceivesNothing(Socket socket) throws IOException {
        socket.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        socket.setSoTimeout(5_000);
    }

    @Test
    void heldBytesArriveOnceThePartitionHealsWhileTheOtherDirectionPasses() throws IOException {
        relay.set("a", "b", ConnectionRelay.LinkMode.HOLD);
        send(clientEnd, "held");
        assertReceivesNothing(serverEnd);
        send(serverEnd, "y");
        assertThat(clientEnd.getInputStream().read()).isEqualTo('y');
        assertThatThrownBy(this::dial).isInstanceOf(SocketTimeoutException.class);
        clientEnd.shutdownOutput();
        assertReceivesNothing(serverEnd);
        relay.heal();
        assertThat(serverEnd.getInputStream().readAllBytes()).asString().isEqualTo("held");
        dial().close();
    }

    @Test
    void connectionsThatLostBytesAreResetOnceThePartitionHeals() throws IOException {
        relay.set("b", "a", ConnectionRelay.LinkMode.LOSE);
        send(serverEnd, "lost");
        assertReceivesNothing(clientEnd);
        assertThatThrownBy(this::dial).isInstanceOf(SocketTimeoutException.class);
        relay.heal();
        assertThatThrownBy(() -> clientEnd.getInputStream().read()).isInstanceOf(SocketException.class);
    }

    @Test
    void resetsAndRefusesConnections() throws IOException {
        relay.set("a", "b", ConnectionRelay.LinkMode.RESET);
        assertThatThrownBy(() -> clientEnd.getInputStream().read()).isInstanceOf(SocketException.class);
        assertThatThrownBy(() -> serverEnd.getInputStream().read()).isInstanceOf(SocketException.class);
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
        relay.delay("a", "b", 2L * SHORT_MILLIS);
        send(clientEnd, "z");
        assertReceivesNothing(serverEnd);
        assertThat(serverEnd.getInputStream().read()).isEqualTo('z');
    }
}

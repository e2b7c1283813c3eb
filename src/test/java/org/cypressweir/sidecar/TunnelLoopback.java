package org.cypressweir.sidecar;

import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Assertions;

/** Base class for a sidecar whose operators' file has one WebSocket route. */
abstract class TunnelLoopback extends Loopback {

    static final String UPGRADE = "Connection: Upgrade\r\nUpgrade: websocket\r\n"
            + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + WebSocketClient.KEY + "\r\n";
    /** A subprotocol that can be resumed. */
    static final String CHAT = "Sec-WebSocket-Protocol: chat\r\n";

    Harness harness;

    /** An operators' file with these keys in the route's table and these servers in its pool. */
    static String file(String limits, PeerStub... servers) {
        return file("", limits, servers);
    }

    static String file(String pool, String limits, PeerStub... servers) {
        StringBuilder text =
                new StringBuilder("version = 1\n[pools.p]\n" + pool + "source = \"static\"\n" + "servers = [\n");
        for (PeerStub server : servers) {
            text.append("  { id = \"s-")
                    .append(server.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(server.port())
                    .append("\", zone = \"a\" },\n");
        }
        return text.append("]\n[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n"
                        + "[routes.search.websocket]\n")
                .append(limits)
                .toString();
    }

    void sidecar(String file) throws Exception {
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file);
    }

    /** Requests an upgrade with these additional headers. */
    Harness.Client ask(String more) throws Exception {
        return harness.client().raw(Harness.Client.head("GET", "/search/1", 2_000, UPGRADE + more, 0));
    }

    WebSocketClient open(String more) throws Exception {
        Harness.Client client = ask(more);
        RawHttpClient.Message answer = client.answer();
        Assertions.assertEquals(101, answer.status());
        return new WebSocketClient(client.socket, true);
    }

    WebSocketClient open() throws Exception {
        return open("");
    }

    /**
     * A server that accepts the chat subprotocol, counts its tunnels and echoes each message; it also serves plain
     * requests.
     */
    static PeerStub.Script chat(AtomicInteger tunnels) {
        return seen -> {
            if (!seen.request().headers().containsKey("Upgrade")) {
                seen.reply("200 OK", "", "ok");
                return;
            }
            tunnels.incrementAndGet();
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, CHAT);
            for (WebSocketClient.Frame f; (f = ws.message()) != null; ) {
                if (f.opcode() == 8) {
                    ws.close(f.code());
                    return;
                }
                ws.send(f.opcode(), true, f.payload());
            }
        };
    }
}

package org.cypressweir.common.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.cypressweir.golden.Golden;
import org.junit.jupiter.api.Test;

/** The frame around each message between processes of the mesh, and how its values become JSON. */
class GoldenFramesTest {

    private static final String FRAMES = "messages/frames.txt";
    private static final long NOW_MICROS = 1_000_000;
    private static final byte[] BODY = "body \u00e9".getBytes(StandardCharsets.UTF_8);

    private static final class ReceivedMessages implements PeerConnection.Listener {
        private final List<String> messages = new ArrayList<>();

        @Override
        public void opened(PeerConnection connection) {}

        @Override
        public void received(PeerConnection connection, Map<String, Object> header, byte[] body) {
            messages.add(header + " + " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(PeerConnection connection) {}
    }

    private static Map<String, Object> everyKindOfValue() {
        return JsonCodec.map(
                "t",
                "any",
                "text",
                "\u00e9\"\\\n/",
                "whole",
                7,
                "long",
                1L << 60,
                "real",
                0.25,
                "decimal",
                new BigDecimal("1.50"),
                "flag",
                true,
                "list",
                List.of("a", List.of()),
                "object",
                Map.of("k", "v"),
                "left out",
                null);
    }

    @Test
    void encodedFramesAreUnchanged() {
        RecordedPeerConnection recorded = new RecordedPeerConnection(NOW_MICROS);
        recorded.connection().ping();
        recorded.connection().send(JsonCodec.map("t", "any"));
        recorded.connection().send(everyKindOfValue(), BODY, null);
        recorded.connection().sendEncoded("{\"t\":\"text\"}".getBytes(StandardCharsets.UTF_8));
        Golden.assertSame(FRAMES, recorded.takeFrames());
    }

    @Test
    void framesAreDecoded() {
        ReceivedMessages received = new ReceivedMessages();
        RecordedPeerConnection recorded = new RecordedPeerConnection(NOW_MICROS, received);
        for (String frame : Golden.text(FRAMES).split("\n")) {
            recorded.receive(HexFormat.of().parseHex(frame));
        }
        assertThat(received.messages)
                .containsExactly(
                        "{t=any} + ",
                        "{t=any, text=\u00e9\"\\\n/, whole=7, long=1152921504606846976, real=0.25, decimal=1.5, "
                                + "flag=true, list=[a, []], object={k=v}} + body \u00e9",
                        "{t=text} + ");
        assertThat(recorded.takeMessages()).containsExactly("{\"t\":\"pong\"}");
    }
}

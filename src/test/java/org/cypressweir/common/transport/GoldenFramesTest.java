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
    private static final long NOW = 1_000_000;
    private static final byte[] BODY = "body \u00e9".getBytes(StandardCharsets.UTF_8);

    private static final class Received implements PeerConnection.Ear {
        private final List<String> messages = new ArrayList<>();

        @Override
        public void opened(PeerConnection line) {}

        @Override
        public void heard(PeerConnection line, Map<String, Object> head, byte[] body) {
            messages.add(head + " + " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(PeerConnection line) {}
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
    void framesAreTheSame() {
        RecordedPeerConnection recorded = new RecordedPeerConnection(NOW);
        recorded.line().ping();
        recorded.line().send(JsonCodec.map("t", "any"));
        recorded.line().send(everyKindOfValue(), BODY, null);
        recorded.line().sendText("{\"t\":\"text\"}".getBytes(StandardCharsets.UTF_8));
        Golden.assertSame(FRAMES, recorded.takeFrames());
    }

    @Test
    void framesAreRead() {
        Received received = new Received();
        RecordedPeerConnection recorded = new RecordedPeerConnection(NOW, received);
        for (String frame : Golden.text(FRAMES).split("\n")) {
            recorded.receives(HexFormat.of().parseHex(frame));
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

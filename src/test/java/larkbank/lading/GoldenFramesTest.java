package larkbank.lading;

import static org.assertj.core.api.Assertions.assertThat;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import larkbank.golden.Golden;
import org.junit.jupiter.api.Test;

/** The frame around each message between processes of the mesh, and how its values become JSON. */
class GoldenFramesTest {

    private static final String FRAMES = "messages/frames.txt";
    private static final long NOW = 1_000_000;
    private static final byte[] BODY = "body \u00e9".getBytes(StandardCharsets.UTF_8);

    private static final class Received implements Line.Ear {
        private final List<String> messages = new ArrayList<>();

        @Override
        public void opened(Line line) {}

        @Override
        public void heard(Line line, Map<String, Object> head, byte[] body) {
            messages.add(head + " + " + new String(body, StandardCharsets.UTF_8));
        }

        @Override
        public void closed(Line line) {}
    }

    private static Map<String, Object> everyKindOfValue() {
        return Scribe.map(
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
        RecordedLine recorded = new RecordedLine(NOW);
        recorded.line().ping();
        recorded.line().send(Scribe.map("t", "any"));
        recorded.line().send(everyKindOfValue(), BODY, null);
        recorded.line().sendText("{\"t\":\"text\"}".getBytes(StandardCharsets.UTF_8));
        Golden.assertSame(FRAMES, recorded.takeFrames());
    }

    @Test
    void framesAreRead() {
        Received received = new Received();
        RecordedLine recorded = new RecordedLine(NOW, received);
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

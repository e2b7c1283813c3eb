package org.cypressweir.common.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of plain maps and lists as JSON. */
class JsonCodecTest {

    @Test
    void encodedObjectsDecodeToTheSame() throws IOException {
        Map<String, Object> object = JsonCodec.map(
                "text",
                "\u20ac \"\\\n\u0000",
                "whole",
                1L << 60,
                "least",
                Long.MIN_VALUE,
                "real",
                0.1,
                "yes",
                true,
                "list",
                Arrays.asList(1L, null, "a", List.of(), Map.of("deep", Map.of())),
                "empty",
                Map.of(),
                "left out",
                null);
        assertThat(object.keySet()).containsExactly("text", "whole", "least", "real", "yes", "list", "empty");
        byte[] bytes = JsonCodec.bytes(object);
        assertThat(JsonCodec.read(bytes, 0, bytes.length)).isEqualTo(object);

        byte[] padded = new byte[bytes.length + 7];
        System.arraycopy(bytes, 0, padded, 3, bytes.length);
        assertThat(JsonCodec.read(padded, 3, bytes.length)).isEqualTo(object);
        assertThat(new String(JsonCodec.bytes(Map.of("a", new BigDecimal("1.50"))), StandardCharsets.UTF_8))
                .isEqualTo("{\"a\":1.50}");
    }

    @Test
    void lookUpsOfAnotherTypeReturnTheDefault() {
        Map<String, Object> map = JsonCodec.map("t", "x", "n", 1, "o", Map.of("a", 1));
        assertThat(JsonCodec.text(map, "t")).isEqualTo("x");
        assertThat(JsonCodec.text(map, "n")).isEmpty();
        assertThat(JsonCodec.object(map, "o")).isEqualTo(Map.of("a", 1));
        assertThat(JsonCodec.object(map, "t")).isEmpty();
    }

    @Test
    void textsOtherThanOneObjectAreRejected() {
        for (String text : List.of("", "[]", "1", "{", "{\"a\":1}x", "{\"a\":1,}")) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            assertThatThrownBy(() -> JsonCodec.read(bytes, 0, bytes.length))
                    .as(text)
                    .isInstanceOf(IOException.class);
        }
    }
}

package org.cypressweir.meshctl.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JsonValueTest {

    @Test
    void displayIsOneLineForPeople() {
        assertThat(JsonValue.decoded(3.0).display()).isEqualTo("3");
        assertThat(JsonValue.decoded(2.5).display()).isEqualTo("2.5");
        assertThat(JsonValue.decoded(Arrays.asList("a", 7L, null, List.of("b"))).display())
                .isEqualTo("a,7,,b");
        assertThat(JsonValue.of("a\u001b\nb").display()).isEqualTo("a??b");
        assertThat(JsonValue.ABSENT.display()).isEmpty();
    }

    @Test
    void valueOfAnotherTypeIsAsIfItWereNotThere() {
        JsonValue number = JsonValue.of(5);
        assertThat(number.text()).isEmpty();
        assertThat(number.isTrue()).isFalse();
        assertThat(number.elements()).isEmpty();
        assertThat(number.object()).isEmpty();
        assertThat(JsonValue.of("true").isTrue()).isFalse();
        assertThat(JsonValue.of("5").isNumber()).isFalse();
    }

    @Test
    void absentDiffersFromNull() throws IOException {
        JsonObject object = JsonObject.read("{\"present\":null}".getBytes(StandardCharsets.UTF_8));
        assertThat(object.get("present").isNull()).isTrue();
        assertThat(object.get("present").isAbsent()).isFalse();
        assertThat(object.get("other").isNull()).isTrue();
        assertThat(object.get("other").isAbsent()).isTrue();
    }

    @Test
    void elementsThatAreNoObjectsAreLeftOut() {
        JsonValue array = JsonValue.decoded(List.of("text", Map.of("name", "a"), List.of()));
        assertThat(array.objects()).singleElement().satisfies(object -> assertThat(object.get("name"))
                .isEqualTo(JsonValue.of("a")));
    }
}

package org.cypressweir.common.util;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Decoding of JSON objects and look-ups with defaults. */
class JsonTest {

    private static final JsonFactory FACTORY = new JsonFactory();

    private static Map<String, Object> decode(String text) throws IOException {
        try (JsonParser parser = FACTORY.createParser(text.replace('\'', '"'))) {
            return Json.document(parser);
        }
    }

    @Test
    void valuesBecomePlainJavaValues() throws IOException {
        assertThat(decode("{'n':7,'d':0.5,'t':'x','b':true,'f':false,'z':null,'a':[1,[],{}],'o':{'k':'v'},'n':8}"))
                .containsEntry("n", 8L)
                .containsEntry("d", 0.5)
                .containsEntry("t", "x")
                .containsEntry("b", true)
                .containsEntry("f", false)
                .containsEntry("z", null)
                .containsEntry("a", List.of(1L, List.of(), Map.of()))
                .containsEntry("o", Map.of("k", "v"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[]", "1", "{", "{'a':1", "{'a':1}{}", "{'a':1}x"})
    void textsOtherThanOneObjectAreRejected(String text) {
        assertThatThrownBy(() -> decode(text)).isInstanceOf(IOException.class);
    }

    @Test
    void lookUpsOfMissingOrOtherValuesReturnTheDefault() {
        Map<String, Object> object =
                Map.of("n", 7L, "d", 2.9, "t", "x", "b", true, "a", Arrays.asList(1L, null), "o", Map.of("k", 1L));
        assertThat(Json.longValue(object, "n", -1)).isEqualTo(7);
        assertThat(Json.longValue(object, "d", -1)).isEqualTo(2);
        assertThat(Json.longValue(object, "t", -1)).isEqualTo(-1);
        assertThat(Json.doubleValue(object, "d", 0)).isEqualTo(2.9);
        assertThat(Json.doubleValue(object, "none", 0.5)).isEqualTo(0.5);
        assertThat(Json.flag(object, "b")).isTrue();
        assertThat(Json.flag(object, "n")).isFalse();
        assertThat(Json.array(object, "a")).hasSize(2);
        assertThat(Json.array(object, "o")).isEmpty();
        assertThat(Json.object(object, "o")).isEqualTo(Map.of("k", 1L));
        assertThat(Json.object(object, "a")).isEmpty();
    }
}

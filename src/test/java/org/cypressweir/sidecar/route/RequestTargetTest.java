package org.cypressweir.sidecar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each path and host has one normal form, whatever its spelling. */
class RequestTargetTest {

    @ParameterizedTest
    @CsvSource({
        "/, /",
        "/a/b, /a/b",
        "//a///b, /a/b",
        "/a/./b, /a/b",
        "/a/../b, /b",
        "/search/../pay/7, /pay/7",
        "/a/b/.., /a/",
        "/a/., /a/",
        "/a/b/../../c, /c",
        "/%61/b, /a/b",
        "/%7e, /~",
        "/a%3ab, /a%3Ab",
        "/a/%2e%2E/b, /b",
        "/a/%2e, /a/",
        "/a/b/, /a/b/",
        "/.a/..b, /.a/..b",
        "/a?x=/../%2F, /a?x=/../%2F",
        "/a//?x, /a/?x",
        "http://h/a/../b?c, /b?c",
        "http://h, /",
        "HTTP://h?x=1, /?x=1",
        "/%25%32%46, /%252F"
    })
    void normalForm(String text, String normal) throws InvalidTargetException {
        assertEquals(normal, RequestTarget.parse(text).text());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "a",
                "*",
                "/a/%2Fb",
                "/a%2fb",
                "/a%5Cb",
                "/a\\b",
                "/%00",
                "/..",
                "/a/../../b",
                "/%2e%2e/a",
                "/a%",
                "/a%4",
                "/a%zz",
                "/a b",
                "/\u00e9",
                "/a#b",
                "ftp://h/a",
                "http:///a",
                "http://h:x/a",
                "http://h:70000/a",
                "http://a b/c"
            })
    void noNormalForm(String text) {
        assertThrows(InvalidTargetException.class, () -> RequestTarget.parse(text));
    }

    @ParameterizedTest
    @CsvSource({
        "API.Example.ORG, api.example.org",
        "api.example.org., api.example.org",
        "api.example.org:8443, api.example.org",
        "[::1]:80, [::1]",
        "127.0.0.1, 127.0.0.1",
        "a:, a"
    })
    void normalHost(String field, String normal) throws InvalidTargetException {
        assertEquals(normal, HostName.of(List.of(field), true));
    }

    @Test
    void missingDuplicateOrInvalidHostIsRejected() throws InvalidTargetException {
        assertThrows(InvalidTargetException.class, () -> HostName.of(List.of(), true));
        assertThrows(InvalidTargetException.class, () -> HostName.of(List.of("a", "a"), false));
        assertEquals("", HostName.of(List.of(), false));
        for (String bad : List.of("a/b", "a b", ".a", "a..b", "[::1", "a:b:c", "a@b", "a:999999")) {
            assertThrows(InvalidTargetException.class, () -> HostName.of(List.of(bad), true), bad);
        }
    }

    /** Normalization is idempotent, and leaves no dot segments or consecutive slashes. */
    @Test
    void normalFormIsStable() {
        List<String> parts = List.of("/", "//", ".", "..", "a", "%41", "%2e", "%3a", "b", "~");
        long seed = 20261201;
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder("/");
            for (int n = random.nextInt(8); n > 0; n--) {
                text.append(parts.get(random.nextInt(parts.size())));
            }
            String normal;
            try {
                normal = RequestTarget.parse(text.toString()).path();
                assertEquals(normal, RequestTarget.parse(normal).path(), "seed " + seed + ": " + text);
            } catch (InvalidTargetException e) {
                continue;
            }
            assertEquals(
                    false,
                    (normal + "/").matches(".*(//|/\\./|/\\.\\./).*") && !normal.endsWith("/"),
                    "seed " + seed + ": " + text + " gave " + normal);
        }
    }
}

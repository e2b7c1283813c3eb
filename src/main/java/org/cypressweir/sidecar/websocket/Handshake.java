package org.cypressweir.sidecar.websocket;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Set;

/**
 * The opening handshake of RFC 6455, section 4: parses a client's upgrade request, writes the request to a server, and
 * validates the server's 101 response against it. The only extension forwarded is permessage-deflate (RFC 7692), whose
 * frames pass through unchanged; an unknown extension could change the meaning of frames.
 */
public final class Handshake {

    /** The WebSocket protocol version of RFC 6455. */
    public static final String VERSION = "13";

    private static final String GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
    private static final String DEFLATE = "permessage-deflate";
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    /** Length of a decoded Sec-WebSocket-Key, in bytes. */
    public static final int KEY_BYTES = 16;

    private final String expectedAccept;
    private final List<String> protocols;
    private final List<String> extensions;
    private final String key;

    private Handshake(String key, List<String> protocols, List<String> extensions) {
        this.key = key;
        expectedAccept = acceptKey(key);
        this.protocols = protocols;
        this.extensions = extensions;
    }

    /** Thrown for an invalid upgrade request; status and message are sent to the client. */
    public static final class InvalidHandshakeException extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        InvalidHandshakeException(HttpResponseStatus status, String message) {
            super(message);
            this.status = status;
        }

        public HttpResponseStatus status() {
            return status;
        }
    }

    /**
     * Whether a request asks for an upgrade to WebSocket; upgrades to other protocols, such as h2c, do not count.
     */
    public static boolean isUpgradeRequest(HttpHeaders headers) {
        return hasToken(headers, HttpHeaderNames.UPGRADE, "websocket")
                && hasToken(headers, HttpHeaderNames.CONNECTION, "upgrade");
    }

    /**
     * Parses an upgrade request.
     *
     * @throws InvalidHandshakeException with 400, or 426 for another version (section 4.4)
     */
    public static Handshake read(FullHttpRequest http) throws InvalidHandshakeException {
        HttpHeaders headers = http.headers();
        require(http.method().equals(HttpMethod.GET), "an upgrade is asked for with GET");
        require(http.protocolVersion().equals(HttpVersion.HTTP_1_1), "an upgrade is asked for in HTTP/1.1");
        require(
                !headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && !http.content().isReadable()
                        && (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                                || headers.get(HttpHeaderNames.CONTENT_LENGTH).equals("0")),
                "an upgrade has no body");
        require(tokens(headers, HttpHeaderNames.UPGRADE).size() == 1, "more than one protocol to go over to");
        List<String> versions = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_VERSION);
        if (versions.size() != 1 || !versions.get(0).trim().equals(VERSION)) {
            throw new InvalidHandshakeException(HttpResponseStatus.UPGRADE_REQUIRED, "the version must be " + VERSION);
        }
        List<String> keys = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_KEY);
        require(keys.size() == 1 && isKey(keys.get(0).trim()), "a key of 16 bytes is missing");
        List<String> protocols = tokens(headers, HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        require(
                protocols.stream().allMatch(p -> p.matches(TOKEN))
                        && protocols.stream().distinct().count() == protocols.size(),
                "bad subprotocols");
        List<String> extensions = tokens(headers, HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS).stream()
                .filter(e -> name(e).equals(DEFLATE))
                .toList();
        return new Handshake(keys.get(0).trim(), protocols, extensions);
    }

    /** Returns the handshake without extensions, because an extension's state can't be moved to another server. */
    public Handshake withoutExtensions() {
        return new Handshake(key, protocols, List.of());
    }

    /** Returns a handshake to move the connection to another server: with a new key and only the agreed subprotocol. */
    public Handshake forAnotherServer(String protocol, byte[] ownKey) {
        return new Handshake(Base64.getEncoder().encodeToString(ownKey), List.of(protocol), List.of());
    }

    /** Whether the client offered any of these subprotocols. */
    public boolean offers(Set<String> candidates) {
        return protocols.stream().anyMatch(candidates::contains);
    }

    /** The subprotocol of a valid 101 response; null for none. */
    public static String protocol(HttpResponse response) {
        String selected = response.headers().get(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        return selected == null ? null : selected.trim();
    }

    private static void require(boolean condition, String message) throws InvalidHandshakeException {
        if (!condition) {
            throw new InvalidHandshakeException(HttpResponseStatus.BAD_REQUEST, message);
        }
    }

    private static boolean isKey(String key) {
        try {
            return Base64.getDecoder().decode(key).length == KEY_BYTES;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Adds this handshake's headers to the end-to-end headers of a request. */
    public void writeTo(HttpHeaders headers) {
        headers.set(HttpHeaderNames.CONNECTION, "Upgrade").set(HttpHeaderNames.UPGRADE, "websocket");
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.SEC_WEBSOCKET_KEY, key);
        headers.remove(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        if (!protocols.isEmpty()) {
            headers.set(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL, String.join(", ", protocols));
        }
        headers.remove(HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS);
        if (!extensions.isEmpty()) {
            headers.set(HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS, String.join(", ", extensions));
        }
    }

    /** Describes what is wrong with a server's 101 response (section 4.1, the client's part); null if it is valid. */
    public String findResponseFault(HttpResponse response) {
        HttpHeaders headers = response.headers();
        List<String> upgrade = tokens(headers, HttpHeaderNames.UPGRADE);
        List<String> selected = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        List<String> agreed = tokens(headers, HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS);
        List<String> accepts = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_ACCEPT);
        if (upgrade.size() != 1
                || !upgrade.get(0).equalsIgnoreCase("websocket")
                || !hasToken(headers, HttpHeaderNames.CONNECTION, "upgrade")) {
            return "101 for something else";
        }
        if (accepts.size() != 1 || !accepts.get(0).trim().equals(expectedAccept)) {
            return "a wrong accept key";
        }
        if (selected.size() > 1
                || selected.size() == 1 && !protocols.contains(selected.get(0).trim())) {
            return "a subprotocol that was not offered";
        }
        if (agreed.size() > 1
                || agreed.size() == 1
                        && (extensions.isEmpty() || !name(agreed.get(0)).equals(DEFLATE))) {
            return "an extension that was not offered";
        }
        return null;
    }

    /** Whether a valid 101 response agrees on permessage-deflate. */
    public static boolean isCompressed(HttpResponse response) {
        return response.headers().contains(HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS);
    }

    private static String name(String extension) {
        int semicolon = extension.indexOf(';');
        return (semicolon < 0 ? extension : extension.substring(0, semicolon)).trim();
    }

    /** Computes the Sec-WebSocket-Accept value, which proves that a server has read this key (section 4.2.2). */
    public static String acceptKey(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-1").digest((key + GUID).getBytes(StandardCharsets.US_ASCII));
            return Base64.getEncoder().encodeToString(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime lacks SHA-1", e);
        }
    }

    private static boolean hasToken(HttpHeaders headers, CharSequence name, String token) {
        return tokens(headers, name).stream().anyMatch(t -> t.equalsIgnoreCase(token));
    }

    /** The elements of a list header, from all of its field lines (RFC 9110, section 5.6.1). */
    private static List<String> tokens(HttpHeaders headers, CharSequence name) {
        List<String> tokens = new ArrayList<>();
        for (String field : headers.getAll(name)) {
            for (String token : field.split(",")) {
                if (!token.isBlank()) {
                    tokens.add(token.trim());
                }
            }
        }
        return tokens;
    }
}

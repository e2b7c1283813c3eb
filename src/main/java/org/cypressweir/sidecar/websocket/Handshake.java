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
 * The opening handshake of RFC 6455, section 4: what a client asks for, what goes on to a server, and
 * whether a
 * server's 101 answers just that. Of extensions only permessage-deflate (RFC 7692) goes on: it is passed
 * through
 * untouched, and what is not known could give frames another meaning.
 */
public final class Handshake {

    /** The only version there is. */
    public static final String VERSION = "13";

    private static final String GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
    private static final String DEFLATE = "permessage-deflate";
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    /** Length of a key, in bytes. */
    public static final int KEY_BYTES = 16;

    private final String accept;
    private final List<String> protocols;
    private final List<String> extensions;
    private final String key;

    private Handshake(String key, List<String> protocols, List<String> extensions) {
        this.key = key;
        accept = accept(key);
        this.protocols = protocols;
        this.extensions = extensions;
    }

    /** A request for an upgrade that is none; the status and the text are for its client. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        private final transient HttpResponseStatus status;

        Refused(HttpResponseStatus status, String message) {
            super(message);
            this.status = status;
        }

        public HttpResponseStatus status() {
            return status;
        }
    }

    /**
     * Whether a request asks to go over to WebSocket; other protocols, h2c among them, are not asked for
     * here.
     */
    public static boolean isAsked(HttpHeaders headers) {
        return hasToken(headers, HttpHeaderNames.UPGRADE, "websocket")
                && hasToken(headers, HttpHeaderNames.CONNECTION, "upgrade");
    }

    /**
     * Reads a request for an upgrade.
     *
     * @throws Refused with 400, or 426 for another version (section 4.4)
     */
    public static Handshake read(FullHttpRequest http) throws Refused {
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
            throw new Refused(HttpResponseStatus.UPGRADE_REQUIRED, "the version must be " + VERSION);
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

    /** The same without any extension, whose state could not be taken to another server. */
    public Handshake plain() {
        return new Handshake(key, protocols, List.of());
    }

    /** Another one for the same connection: with a key of its own and just the subprotocol agreed on. */
    public Handshake again(String protocol, byte[] ownKey) {
        return new Handshake(Base64.getEncoder().encodeToString(ownKey), List.of(protocol), List.of());
    }

    /** Whether any of these subprotocols is offered. */
    public boolean offers(Set<String> any) {
        return protocols.stream().anyMatch(any::contains);
    }

    /** The subprotocol of a sound 101; null for none. */
    public static String protocol(HttpResponse answer) {
        String chosen = answer.headers().get(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        return chosen == null ? null : chosen.trim();
    }

    private static void require(boolean holds, String otherwise) throws Refused {
        if (!holds) {
            throw new Refused(HttpResponseStatus.BAD_REQUEST, otherwise);
        }
    }

    private static boolean isKey(String key) {
        try {
            return Base64.getDecoder().decode(key).length == KEY_BYTES;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Turns headers that go on end to end into those of this handshake. */
    public void ask(HttpHeaders headers) {
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

    /** What is wrong with a server's 101 (section 4.1, the client's part); null where it is sound. */
    public String fault(HttpResponse answer) {
        HttpHeaders headers = answer.headers();
        List<String> upgrade = tokens(headers, HttpHeaderNames.UPGRADE);
        List<String> chosen = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_PROTOCOL);
        List<String> agreed = tokens(headers, HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS);
        List<String> accepts = headers.getAll(HttpHeaderNames.SEC_WEBSOCKET_ACCEPT);
        if (upgrade.size() != 1
                || !upgrade.get(0).equalsIgnoreCase("websocket")
                || !hasToken(headers, HttpHeaderNames.CONNECTION, "upgrade")) {
            return "101 for something else";
        }
        if (accepts.size() != 1 || !accepts.get(0).trim().equals(accept)) {
            return "a wrong accept key";
        }
        if (chosen.size() > 1
                || chosen.size() == 1 && !protocols.contains(chosen.get(0).trim())) {
            return "a subprotocol that was not offered";
        }
        if (agreed.size() > 1
                || agreed.size() == 1
                        && (extensions.isEmpty() || !name(agreed.get(0)).equals(DEFLATE))) {
            return "an extension that was not offered";
        }
        return null;
    }

    /** Whether a sound 101 agrees on permessage-deflate. */
    public static boolean isCompressed(HttpResponse answer) {
        return answer.headers().contains(HttpHeaderNames.SEC_WEBSOCKET_EXTENSIONS);
    }

    private static String name(String extension) {
        int semicolon = extension.indexOf(';');
        return (semicolon < 0 ? extension : extension.substring(0, semicolon)).trim();
    }

    /** The value that proves that a server has read this key (section 4.2.2). */
    public static String accept(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-1").digest((key + GUID).getBytes(StandardCharsets.US_ASCII));
            return Base64.getEncoder().encodeToString(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every runtime has SHA-1", e);
        }
    }

    private static boolean hasToken(HttpHeaders headers, CharSequence name, String token) {
        return tokens(headers, name).stream().anyMatch(t -> t.equalsIgnoreCase(token));
    }

    /** The elements of a header that is a list, over all its fields (RFC 9110, section 5.6.1). */
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

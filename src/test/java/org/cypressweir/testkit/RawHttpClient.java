package org.cypressweir.testkit;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream without a library, to check the bytes that a process writes. */
public final class RawHttpClient {

    private RawHttpClient() {}

    /** One message: its start line, its headers and its body. */
    public record Message(String firstLine, Map<String, String> headers, String body) {
        public int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    private static String requireLine(InputStream in) throws IOException {
        return String.valueOf(readLine(in));
    }

    /** The next message, or null at the end of the connection. */
    public static Message read(InputStream in) throws IOException {
        String firstLine = readLine(in);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = requireLine(in); !line.isEmpty(); line = requireLine(in)) {
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new EOFException("connection ended within the header section");
            }
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("connection ended within the body");
        }
        return new Message(firstLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client on one connection, and the parts of HTTP that the stand-in server shares with it. */
final class Http implements AutoCloseable {

    /** A complete message. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Http(String address, int connectMillis, int readMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(socketAddress(address), connectMillis);
        socket.setSoTimeout(readMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    void send(String head, byte[] body) throws IOException {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        out.write(all);
        out.flush();
    }

    Message receive() throws IOException {
        Message message = read(in);
        if (message == null) {
            throw new EOFException("the connection ended without an answer");
        }
        return message;
    }

    /** One call on a connection of its own. */
    static Message call(String address, String method, String target, Map<String, String> headers, byte[] body,
            int readMillis) throws IOException {
        try (Http http = new Http(address, 1_000, readMillis)) {
            http.send(head(method, target, headers, body.length), body);
            return http.receive();
        }
    }

    static String head(String method, String target, Map<String, String> headers, int length) {
        StringBuilder head = new StringBuilder(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(length).append("\r\n");
        }
        return head.append("\r\n").toString();
    }

    /** Reads a message with a length, in chunks or without a body; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = new byte[0];
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("cut off in the body");
            }
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                all.write(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
            body = all.toByteArray();
        }
        return new Message(start, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("cut off in a line");
            }
            if (b == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(b);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

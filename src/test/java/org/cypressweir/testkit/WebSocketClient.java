package org.cypressweir.testkit;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;

/** One end of a WebSocket connection, without a library, so that tests can send malformed frames. */
public final class WebSocketClient {

    /** The key of the example in RFC 6455, section 1.2. */
    public static final String KEY = "dGhlIHNhbXBsZSBub25jZQ==";

    private static final byte[] MASK = {0x37, (byte) 0xfa, 0x21, 0x3d};

    private final Socket socket;
    private final DataInputStream in;
    private final boolean isClient;

    /** A frame as it was received, with its payload unmasked. */
    public record Frame(int opcode, boolean fin, boolean rsv1, byte[] payload) {
        public String text() {
            return new String(payload, StandardCharsets.UTF_8);
        }

        public int code() {
            return payload.length < 2 ? 1005 : (payload[0] & 0xff) << 8 | payload[1] & 0xff;
        }
    }

    public WebSocketClient(Socket socket, boolean isClient) throws IOException {
        this.socket = socket;
        this.isClient = isClient;
        in = new DataInputStream(socket.getInputStream());
    }

    /** Whether bytes have arrived that were not read yet. */
    public boolean hasUnreadBytes() throws IOException {
        return in.available() > 0;
    }

    public static String acceptKey(String key) {
        try {
            return Base64.getEncoder()
                    .encodeToString(MessageDigest.getInstance("SHA-1")
                            .digest((key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")
                                    .getBytes(StandardCharsets.US_ASCII)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A server's valid response that accepts an upgrade, with further header lines. */
    public static String switchingProtocols(String key, String extraHeaders) {
        return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                + "Sec-WebSocket-Accept: " + acceptKey(key) + "\r\n" + extraHeaders + "\r\n";
    }

    /** Accepts a request for an upgrade; returns the server's end of the WebSocket. */
    public static WebSocketClient acceptUpgrade(PeerStub.ReceivedRequest seen, String extraHeaders) throws IOException {
        seen.raw(switchingProtocols(seen.request().headers().get("Sec-WebSocket-Key"), extraHeaders));
        return new WebSocketClient(seen.socket(), false);
    }

    /** A server that echoes each message, and answers ping and close frames. */
    public static PeerStub.Script echo() {
        return seen -> {
            WebSocketClient ws = acceptUpgrade(seen, "");
            for (Frame f; (f = ws.read()) != null; ) {
                if (f.opcode() == 9) {
                    ws.send(10, true, f.payload());
                } else if (f.opcode() != 10) {
                    ws.send(f.opcode(), f.fin(), f.payload());
                }
                if (f.opcode() == 8) {
                    return;
                }
            }
        };
    }

    /** The bytes of a frame; clients have to mask theirs. */
    public static byte[] frame(boolean masked, int first, byte[] payload) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(first);
        int mask = masked ? 0x80 : 0;
        if (payload.length < 126) {
            out.write(mask | payload.length);
        } else if (payload.length < 65_536) {
            out.write(mask | 126);
            out.write(payload.length >> 8);
            out.write(payload.length);
        } else {
            out.write(mask | 127);
            for (int shift = 56; shift >= 0; shift -= 8) {
                out.write((int) ((long) payload.length >> shift));
            }
        }
        if (masked) {
            out.writeBytes(MASK);
        }
        for (int i = 0; i < payload.length; i++) {
            out.write(masked ? payload[i] ^ MASK[i & 3] : payload[i]);
        }
        return out.toByteArray();
    }

    public static byte[] closePayload(int code, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.UTF_8);
        byte[] payload = new byte[2 + text.length];
        payload[0] = (byte) (code >> 8);
        payload[1] = (byte) code;
        System.arraycopy(text, 0, payload, 2, text.length);
        return payload;
    }

    public WebSocketClient raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
        return this;
    }

    public WebSocketClient send(int opcode, boolean last, byte[] payload) throws IOException {
        return raw(frame(isClient, (last ? 0x80 : 0) | opcode, payload));
    }

    public WebSocketClient text(String text) throws IOException {
        return send(1, true, text.getBytes(StandardCharsets.UTF_8));
    }

    public WebSocketClient close(int code) throws IOException {
        return send(8, true, closePayload(code, ""));
    }

    /** Closes the connection. */
    public void closeConnection() throws IOException {
        socket.close();
    }

    /**
     * Reads the next frame and checks that it is masked if a client sent it, and only then. Returns null at the end of
     * the connection, and throws an exception if that is within a frame.
     */
    public Frame read() throws IOException {
        int first;
        try {
            first = in.read();
        } catch (SocketException e) {
            return null;
        }
        if (first < 0) {
            return null;
        }
        int second = in.readUnsignedByte();
        if ((second & 0x80) != 0 == isClient) {
            throw new IOException("masked by a server, or not masked by a client");
        }
        long length = second & 0x7f;
        length = length == 126 ? in.readUnsignedShort() : length == 127 ? in.readLong() : length;
        byte[] mask = isClient ? new byte[4] : in.readNBytes(4);
        byte[] payload = in.readNBytes((int) length);
        if (payload.length < length || mask.length < 4) {
            throw new EOFException("connection ended within a frame");
        }
        for (int i = 0; i < payload.length; i++) {
            payload[i] ^= mask[i & 3];
        }
        return new Frame(first & 0x0f, (first & 0x80) != 0, (first & 0x40) != 0, payload);
    }

    /** Reads the next message and joins its fragments. Skips pings and pongs before its end; returns a close frame. */
    public Frame message() throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        int opcode = 0;
        for (Frame f; (f = read()) != null; ) {
            if (f.opcode() == 8) {
                return f;
            }
            if (f.opcode() > 8) {
                continue;
            }
            opcode = f.opcode() == 0 ? opcode : f.opcode();
            payload.writeBytes(f.payload());
            if (f.fin()) {
                return new Frame(opcode, true, f.rsv1(), payload.toByteArray());
            }
        }
        return null;
    }
}

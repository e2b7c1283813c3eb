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

/** One end of a WebSocket, byte by byte, so that a test can do what no library would. */
public final class WebSocketClient {

    /** The key that RFC 6455 uses in its example, section 1.2. */
    public static final String KEY = "dGhlIHNhbXBsZSBub25jZQ==";

    private static final byte[] MASK = {0x37, (byte) 0xfa, 0x21, 0x3d};

    private final Socket socket;
    private final DataInputStream in;
    private final boolean isClient;

    /** A frame as it came. */
    public record Frame(int opcode, boolean last, boolean rsv1, byte[] payload) {
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

    public static String accept(String key) {
        try {
            return Base64.getEncoder()
                    .encodeToString(MessageDigest.getInstance("SHA-1")
                            .digest((key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")
                                    .getBytes(StandardCharsets.US_ASCII)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A server's sound 101. */
    public static String agreed(String key, String extraHeaders) {
        return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                + "Sec-WebSocket-Accept: " + accept(key) + "\r\n" + extraHeaders + "\r\n";
    }

    /** Takes a request for an upgrade and goes over. */
    public static WebSocketClient agree(PeerStub.Seen seen, String extraHeaders) throws IOException {
        seen.raw(agreed(seen.request().headers().get("Sec-WebSocket-Key"), extraHeaders));
        return new WebSocketClient(seen.socket(), false);
    }

    /** A server that sends each message back and answers pings and closes. */
    public static PeerStub.Script echo() {
        return seen -> {
            WebSocketClient ws = agree(seen, "");
            for (Frame f; (f = ws.read()) != null; ) {
                if (f.opcode() == 9) {
                    ws.send(10, true, f.payload());
                } else if (f.opcode() != 10) {
                    ws.send(f.opcode(), f.last(), f.payload());
                }
                if (f.opcode() == 8) {
                    return;
                }
            }
        };
    }

    /** The bytes of a frame; a client's are masked. */
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
    public void end() throws IOException {
        socket.close();
    }

    /** The next frame, checked for its mask; null at the end, an exception within a frame. */
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
            throw new IOException("masked the wrong way");
        }
        long length = second & 0x7f;
        length = length == 126 ? in.readUnsignedShort() : length == 127 ? in.readLong() : length;
        byte[] mask = isClient ? new byte[4] : in.readNBytes(4);
        byte[] payload = in.readNBytes((int) length);
        if (payload.length < length || mask.length < 4) {
            throw new EOFException("a torn frame");
        }
        for (int i = 0; i < payload.length; i++) {
            payload[i] ^= mask[i & 3];
        }
        return new Frame(first & 0x0f, (first & 0x80) != 0, (first & 0x40) != 0, payload);
    }

    /** The next message, its pieces put together; control frames before its end are passed over. */
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
            if (f.last()) {
                return new Frame(opcode, true, f.rsv1(), payload.toByteArray());
            }
        }
        return null;
    }
}

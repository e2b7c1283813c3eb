package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of RFC 6455, grouped as in the usual test suite; docs/design/websocket.md lists which test covers what. */
class FrameReaderTest {

    /** Collects what was read, with the pieces of each message joined. */
    private static final class CollectingSink implements FrameReader.Sink {
        private final List<String> all = new ArrayList<>();
        private final ByteArrayOutputStream message = new ByteArrayOutputStream();
        private String kind = "";

        @Override
        public void data(int opcode, boolean compressed, ByteBuf payload, boolean last) {
            assertEquals(kind.isEmpty(), opcode != 0, "a message begins with its opcode, once");
            if (opcode != 0) {
                kind = (opcode == 1 ? "text" : "binary") + (compressed ? "*" : "");
            }
            message.writeBytes(ByteBufUtil.getBytes(payload));
            payload.release();
            if (last) {
                all.add(kind + ":" + message.toString(StandardCharsets.ISO_8859_1));
                message.reset();
                kind = "";
            }
        }

        @Override
        public void control(int opcode, byte[] payload) {
            all.add(opcode + ":" + new String(payload, StandardCharsets.ISO_8859_1));
        }
    }

    private static FrameReader reader(boolean masked, boolean compression, CollectingSink into) {
        return new FrameReader(masked, compression, 1 << 20, 1 << 21, into);
    }

    private static byte[] bytes(String hex) {
        return ByteBufUtil.decodeHexDump(hex.replace(" ", ""));
    }

    private static int violation(boolean masked, byte[] frames) {
        CollectingSink out = new CollectingSink();
        return assertThrows(ProtocolViolationException.class, () -> reader(masked, false, out)
                        .read(Unpooled.wrappedBuffer(frames)))
                .code();
    }

    /** The examples of section 5.7. */
    @ParameterizedTest
    @CsvSource({
        "false, 810548656c6c6f, text:Hello",
        "true, 818537fa213d7f9f4d5158, text:Hello",
        "false, 010348656c80026c6f, text:Hello",
        "false, 890548656c6c6f, 9:Hello",
        "true, 8a8537fa213d7f9f4d5158, 10:Hello",
        "false, 8200, binary:",
        "false, 010080 00, text:",
        "false, 0103e282ac8000, 'text:\u00e2\u0082\u00ac'",
        "false, 8800, 8:",
        "false, 880203e8, '8:\u0003\u00e8'",
        "false, 01014189018b80 0142, ''",
    })
    void examplesOfTheRfc(boolean masked, String hex, String expected) throws ProtocolViolationException {
        CollectingSink out = new CollectingSink();
        if (expected.isEmpty()) {
            // A control frame within a fragmented message is passed on immediately.
            reader(masked, false, out).read(Unpooled.wrappedBuffer(bytes(hex.replace("018b80 ", "0178 80 "))));
            assertEquals(List.of("9:x", "text:AB"), out.all);
            return;
        }
        reader(masked, false, out).read(Unpooled.wrappedBuffer(bytes(hex)));
        assertEquals(List.of(expected), out.all);
    }

    /**
     * Reserved bits and opcodes, fragments out of order, control frames, lengths, masks (sections 5.2 to
     * 5.5).
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "c10141",
                "a10141",
                "910141",
                "830141",
                "840141",
                "850141",
                "860141",
                "870141",
                "8b00",
                "8c00",
                "8d00",
                "8e00",
                "8f00",
                "0900",
                "0800",
                "897e0080",
                "88 7e 0080",
                "800141",
                "000141",
                "010141 810142",
                "010141 020142",
                "817e0005",
                "817e007d",
                "817f000000000000ffff",
                "817fffffffffffffffff",
                "818537fa213d7f9f4d5158",
                "8801ff",
                "880203e7",
                "880203ec",
                "880203ed",
                "880203ee",
                "880203f7",
                "88020bb7",
                "88021388",
                "8802ffff",
                "88020000",
                "c90141",
                "010141 c00142"
            })
    void protocolErrors(String hex) {
        assertEquals(Frames.PROTOCOL_ERROR, violation(false, bytes(hex)), hex);
    }

    /** Input after a violation is discarded without further effect. */
    @Test
    void inputAfterAViolationIsIgnored() throws ProtocolViolationException {
        CollectingSink out = new CollectingSink();
        FrameReader reader = reader(false, false, out);
        assertThrows(ProtocolViolationException.class, () -> reader.read(Unpooled.wrappedBuffer(bytes("8300"))));
        for (int i = 0; i < 100; i++) {
            reader.read(Unpooled.wrappedBuffer(bytes("810548656c6c6f")));
        }
        assertEquals(List.of(), out.all);
    }

    @Test
    void aClientMustMask() {
        assertEquals(Frames.PROTOCOL_ERROR, violation(true, bytes("810548656c6c6f")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "880203e8",
                "880203e9",
                "880203ea",
                "880203eb",
                "880203ef",
                "880203f3",
                "880203f6",
                "88020bb8",
                "88021387",
                "880703e968656c6c6f"
            })
    void validCloseFrames(String hex) throws ProtocolViolationException {
        CollectingSink out = new CollectingSink();
        FrameReader reader = reader(false, false, out);
        reader.read(Unpooled.wrappedBuffer(bytes(hex)));
        // Input after a close frame is ignored, even if it is invalid.
        reader.read(Unpooled.wrappedBuffer(bytes("ffffff")));
        assertEquals(1, out.all.size());
    }

    /** Overlong forms, surrogates, code points past U+10FFFF, truncation; also if a piece ends within a character. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "c0af",
                "e080af",
                "f08080af",
                "eda080",
                "edbfbf",
                "f4908080",
                "f5808080",
                "80",
                "bf",
                "fe",
                "ff",
                "e2 82",
                "cebae1bdb9cf83cebcceb5eda080656469746564",
                "f7bfbfbf",
                "c1bf",
                "e0 9f bf"
            })
    void invalidUtf8(String hex) {
        byte[] text = bytes(hex);
        assertEquals(Frames.INVALID_PAYLOAD, violation(false, WebSocketClient.frame(false, 0x81, text)), hex);
        ByteArrayOutputStream pieces = new ByteArrayOutputStream();
        for (int i = 0; i < text.length; i++) {
            pieces.writeBytes(WebSocketClient.frame(
                    true, (i == text.length - 1 ? 0x80 : 0) | (i == 0 ? 1 : 0), new byte[] {text[i]}));
        }
        assertEquals(Frames.INVALID_PAYLOAD, violation(true, pieces.toByteArray()), hex);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "41",
                "c280",
                "dfbf",
                "e0a080",
                "ed9fbf",
                "ee8080",
                "efbfbf",
                "f0908080",
                "f48fbfbf",
                "cebae1bdb9cf83cebcceb5",
                "00",
                "7f"
            })
    void validUtf8(String hex) throws ProtocolViolationException {
        CollectingSink out = new CollectingSink();
        reader(false, false, out).read(Unpooled.wrappedBuffer(WebSocketClient.frame(false, 0x81, bytes(hex))));
        assertEquals(1, out.all.size());
    }

    @Test
    void aCloseReasonMustBeUtf8() {
        assertEquals(Frames.INVALID_PAYLOAD, violation(false, bytes("880403e8c328")));
    }

    /** With permessage-deflate, RSV1 on a first frame marks compression; compressed text is not checked as UTF-8. */
    @Test
    void compressedMessagesPass() throws ProtocolViolationException {
        CollectingSink out = new CollectingSink();
        FrameReader reader = reader(false, true, out);
        reader.read(Unpooled.wrappedBuffer(bytes("c10141 4101ff 8001c3 8101 42".replace(" ", ""))));
        assertEquals(List.of("text*:A", "text*:\u00ff\u00c3", "text:B"), out.all);
        assertEquals(
                Frames.PROTOCOL_ERROR,
                assertThrows(ProtocolViolationException.class, () -> reader(false, true, out)
                                .read(Unpooled.wrappedBuffer(bytes("4101ffc00142"))))
                        .code());
    }

    @Test
    void limitsHoldBeforeThePayloadHasCome() {
        CollectingSink out = new CollectingSink();
        FrameReader small = new FrameReader(false, false, 10, 15, out);
        assertEquals(
                Frames.TOO_LARGE,
                assertThrows(ProtocolViolationException.class, () -> small.read(Unpooled.wrappedBuffer(bytes("820b"))))
                        .code());
        FrameReader message = new FrameReader(false, false, 10, 15, out);
        ByteArrayOutputStream two = new ByteArrayOutputStream();
        two.writeBytes(WebSocketClient.frame(false, 0x02, new byte[8]));
        two.writeBytes(WebSocketClient.frame(false, 0x80, new byte[8]));
        assertEquals(
                Frames.TOO_LARGE,
                assertThrows(
                                ProtocolViolationException.class,
                                () -> message.read(Unpooled.wrappedBuffer(two.toByteArray())))
                        .code());
    }

    /** Random frames, split at random positions, are read as they were written. */
    @Test
    void framesAreReadAlikeHoweverTheyAreSplit() throws ProtocolViolationException {
        long seed = 6455;
        SplittableRandom random = new SplittableRandom(seed);
        for (int round = 0; round < 3_000; round++) {
            boolean masked = random.nextBoolean();
            ByteArrayOutputStream sent = new ByteArrayOutputStream();
            List<String> expected = new ArrayList<>();
            for (int n = random.nextInt(4); n >= 0; n--) {
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                int pieces = 1 + random.nextInt(4);
                for (int p = 0; p < pieces; p++) {
                    if (p > 0 && random.nextInt(3) == 0) {
                        byte[] ping = new byte[random.nextInt(126)];
                        sent.writeBytes(WebSocketClient.frame(masked, 0x89, ping));
                        expected.add("9:" + new String(ping, StandardCharsets.ISO_8859_1));
                    }
                    byte[] part = new byte[random.nextInt(random.nextInt(8) == 0 ? 70_000 : 300)];
                    random.nextBytes(part);
                    whole.writeBytes(part);
                    sent.writeBytes(
                            WebSocketClient.frame(masked, (p == pieces - 1 ? 0x80 : 0) | (p == 0 ? 2 : 0), part));
                }
                expected.add("binary:" + whole.toString(StandardCharsets.ISO_8859_1));
            }
            CollectingSink out = new CollectingSink();
            FrameReader reader = reader(masked, false, out);
            byte[] all = sent.toByteArray();
            for (int at = 0; at < all.length; ) {
                int cut = Math.min(all.length - at, 1 + random.nextInt(random.nextBoolean() ? 5 : 5_000));
                reader.read(Unpooled.copiedBuffer(all, at, cut));
                at += cut;
            }
            assertEquals(expected, out.all, "seed " + seed + ", round " + round);
        }
    }

    /** Random bytes cause a protocol violation or wait for more input; no other exception is thrown. */
    @Test
    void randomBytesCauseOnlyViolations() {
        long seed = 99;
        SplittableRandom random = new SplittableRandom(seed);
        int violations = 0;
        for (int round = 0; round < 50_000; round++) {
            byte[] input = new byte[1 + random.nextInt(60)];
            random.nextBytes(input);
            if (random.nextInt(3) > 0) {
                byte[] good = WebSocketClient.frame(true, 0x81, "abc".getBytes(StandardCharsets.US_ASCII));
                System.arraycopy(good, 0, input, 0, Math.min(good.length, input.length));
                input[random.nextInt(input.length)] ^= (byte) (1 << random.nextInt(8));
            }
            try {
                reader(true, random.nextBoolean(), new CollectingSink()).read(Unpooled.wrappedBuffer(input));
            } catch (ProtocolViolationException e) {
                violations++;
                assertTrue(Frames.isValidCloseCode(e.code()), "seed " + seed);
            }
        }
        assertTrue(violations > 20_000, "only " + violations);
    }

    /** Encoded frames are read back unchanged, masked or not, at all length encodings. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 125, 126, 127, 65_535, 65_536, 100_000})
    void writtenFramesAreRead(int length) throws ProtocolViolationException {
        byte[] payload = new byte[length];
        new SplittableRandom(length).nextBytes(payload);
        for (boolean masked : new boolean[] {true, false}) {
            ByteBuf frame = Frames.frame(
                    Frames.BINARY,
                    true,
                    false,
                    Unpooled.copiedBuffer(payload),
                    masked ? new byte[] {1, 2, 3, 4} : null);
            byte[] plain = ByteBufUtil.getBytes(frame);
            if (!masked) {
                assertArrayEquals(WebSocketClient.frame(false, 0x82, payload), plain);
            }
            CollectingSink out = new CollectingSink();
            reader(masked, false, out).read(frame);
            assertEquals(List.of("binary:" + new String(payload, StandardCharsets.ISO_8859_1)), out.all);
        }
    }
}

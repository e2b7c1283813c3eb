package org.cypressweir.controlplane.distribution;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.Item;

/** Items on their way: in pieces, each a JSON text pressed small, since pilots' links are narrow. */
public final class ItemChunks {

    private static final int PIECE = 250;
    private static final int MOST = 64 * 1024 * 1024;

    private ItemChunks() {}

    /** One piece at least. */
    public static List<byte[]> pack(List<Item> items) {
        List<byte[]> pieces = new ArrayList<>();
        for (int i = 0; i == 0 || i < items.size(); i += PIECE) {
            List<Object> part = new ArrayList<>();
            items.subList(i, Math.min(items.size(), i + PIECE))
                    .forEach(item -> part.add(item.withoutHistory().toMap()));
            pieces.add(press(JsonCodec.bytes(Map.of("items", part))));
        }
        return pieces;
    }

    /** Reads a piece; an exception where it is none. */
    public static List<Item> unpack(byte[] piece) throws IOException {
        byte[] text = spread(piece);
        List<Item> items = new ArrayList<>();
        try {
            for (Object one : Json.array(JsonCodec.read(text, 0, text.length), "items")) {
                if (one instanceof Map<?, ?> map) {
                    items.add(Item.of(map));
                }
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return items;
    }

    private static byte[] press(byte[] text) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(text.length / 4 + 64);
            byte[] some = new byte[8 * 1024];
            while (!deflater.finished()) {
                out.write(some, 0, deflater.deflate(some));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] spread(byte[] piece) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(piece);
            ByteArrayOutputStream out = new ByteArrayOutputStream(6 * piece.length + 64);
            byte[] some = new byte[8 * 1024];
            while (!inflater.finished()) {
                int length = inflater.inflate(some);
                if (length == 0 && !inflater.finished() || out.size() > MOST) {
                    throw new IOException("a piece of items that is cut short or too large");
                }
                out.write(some, 0, length);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("a piece of items that can't be read", e);
        } finally {
            inflater.end();
        }
    }
}

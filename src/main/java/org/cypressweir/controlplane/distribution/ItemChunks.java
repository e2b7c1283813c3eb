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

/**
 * Packs configuration items into chunks for sending and unpacks them. A chunk is a JSON object compressed in the zlib
 * format (RFC 1950), since the links to proxies have little bandwidth. Stateless.
 */
public final class ItemChunks {

    private static final int ITEMS_PER_CHUNK = 250;
    /** Limits the memory that a malicious or damaged chunk can take when it is inflated. */
    private static final int MAX_INFLATED_BYTES = 64 * 1024 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;
    private static final String ITEMS_FIELD = "items";

    private ItemChunks() {}

    /** Packs the items into one or more chunks; without items, into one empty chunk. */
    public static List<byte[]> pack(List<Item> items) {
        List<byte[]> chunks = new ArrayList<>();
        for (int first = 0; first == 0 || first < items.size(); first += ITEMS_PER_CHUNK) {
            List<Object> encoded = new ArrayList<>();
            items.subList(first, Math.min(items.size(), first + ITEMS_PER_CHUNK))
                    .forEach(item -> encoded.add(item.withoutHistory().toMap()));
            chunks.add(deflate(JsonCodec.bytes(Map.of(ITEMS_FIELD, encoded))));
        }
        return chunks;
    }

    /**
     * Unpacks a chunk.
     *
     * @throws IOException if the bytes are not a chunk, or if it is truncated or too large
     */
    public static List<Item> unpack(byte[] chunk) throws IOException {
        byte[] json = inflate(chunk);
        List<Item> items = new ArrayList<>();
        try {
            for (Object encoded : Json.array(JsonCodec.read(json, 0, json.length), ITEMS_FIELD)) {
                if (encoded instanceof Map<?, ?> map) {
                    items.add(Item.of(map));
                }
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
        return items;
    }

    private static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4 + 64);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    private static byte[] inflate(byte[] chunk) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(chunk);
            ByteArrayOutputStream out = new ByteArrayOutputStream(6 * chunk.length + 64);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int length = inflater.inflate(buffer);
                if (length == 0 && !inflater.finished() || out.size() > MAX_INFLATED_BYTES) {
                    throw new IOException("a chunk of items is truncated or too large");
                }
                out.write(buffer, 0, length);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("a chunk of items is malformed", e);
        } finally {
            inflater.end();
        }
    }
}

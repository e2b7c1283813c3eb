package org.cypressweir.controlplane.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes items as they are sent between processes and stored on disk. The names of the fields are fixed. Content
 * is a JSON text within the JSON, so that no reader on the way rounds its numbers.
 */
final class ItemCodec {

    private static final String TYPE = "table";
    private static final String NAME = "name";
    private static final String VERSION = "version";
    private static final String CONTENT = "content";
    private static final String SUPERSEDED = "past";
    private static final String OLDEST_KNOWN_VERSION = "floor";

    private static final String HASH_SEPARATOR = ":";
    /** An earlier build kept this many superseded versions, and wrote no oldest known version. */
    private static final int MAX_SUPERSEDED_OF_EARLIER_BUILD = 8;

    private ItemCodec() {}

    static Map<String, Object> toMap(Item item) {
        List<SupersededVersion> superseded = item.superseded();
        Map<String, Object> map = new LinkedHashMap<>();
        map.put(TYPE, item.key().type().wireName());
        map.put(NAME, item.key().name());
        map.put(VERSION, item.version());
        if (item.content() != null) {
            map.put(CONTENT, JsonTextWriter.write(item.content()));
        }
        if (!superseded.isEmpty()) {
            List<Object> texts = new ArrayList<>();
            superseded.forEach(each -> texts.add(each.version() + HASH_SEPARATOR + each.contentHash()));
            map.put(SUPERSEDED, texts);
        }
        if (item.oldestKnownVersion() > 0 || superseded.size() >= MAX_SUPERSEDED_OF_EARLIER_BUILD) {
            map.put(OLDEST_KNOWN_VERSION, item.oldestKnownVersion());
        }
        return map;
    }

    static String toText(Item item) {
        return JsonTextWriter.write(toMap(item));
    }

    static Item fromText(String text) {
        try {
            return fromMap(StrictJson.readObject(text));
        } catch (IOException e) {
            throw new IllegalArgumentException("not an item: " + e.getMessage(), e);
        }
    }

    static Item fromMap(Map<?, ?> map) {
        ItemType type = ItemType.of(map.get(TYPE));
        if (type == null || !(map.get(NAME) instanceof String name) || !(map.get(VERSION) instanceof Number version)) {
            throw new IllegalArgumentException("not an item: type, name or version is missing");
        }
        List<SupersededVersion> superseded = superseded(map.get(SUPERSEDED));
        long oldestKnownVersion = oldestKnownVersion(map.get(OLDEST_KNOWN_VERSION), superseded);
        return new Item(
                new ItemKey(type, name),
                version.longValue(),
                content(map.get(CONTENT)),
                superseded,
                oldestKnownVersion);
    }

    private static Map<String, Object> content(Object value) {
        if (!(value instanceof String text)) {
            return null;
        }
        try {
            return StrictJson.readObject(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("not an item's content: " + e.getMessage(), e);
        }
    }

    private static List<SupersededVersion> superseded(Object value) {
        List<SupersededVersion> superseded = new ArrayList<>();
        if (value instanceof List<?> texts) {
            for (Object text : texts) {
                String[] parts = String.valueOf(text).split(HASH_SEPARATOR, 2);
                if (parts.length < 2) {
                    throw new IllegalArgumentException("not a superseded version: " + text);
                }
                superseded.add(new SupersededVersion(Long.parseLong(parts[0]), parts[1]));
            }
        }
        return superseded;
    }

    private static long oldestKnownVersion(Object value, List<SupersededVersion> superseded) {
        if (value instanceof Number number) {
            return number.longValue();
        }
        // An earlier build that had reached its maximum may have dropped versions below the first.
        return superseded.size() < MAX_SUPERSEDED_OF_EARLIER_BUILD
                ? 0
                : superseded.get(0).version();
    }
}

package org.cypressweir.controlplane.configuration;

import java.io.IOException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Reads the JSON of a configuration change. Alone knows its layout. Used once, by one thread. */
final class ConfigurationChangeReader {

    private static final String UPSERT = "upsert";
    private static final String WITHDRAW = "withdraw";
    private static final String VERSION = "configVersion";
    private static final Pattern VERSION_PATTERN = Pattern.compile("r\\d{1,18}");

    private record ItemVersion(ItemKey key, long version) {}

    private final Map<ItemVersion, Item> items = new LinkedHashMap<>();

    ConfigurationChange read(byte[] body) throws IOException, InvalidContentException {
        for (Map.Entry<String, Object> section : StrictJson.readObject(body).entrySet()) {
            switch (section.getKey()) {
                case UPSERT -> readUpserts(object(UPSERT, section.getValue()));
                case WITHDRAW -> readWithdrawals(object(WITHDRAW, section.getValue()));
                    // The check of meshctl reads this text.
                default -> throw new InvalidContentException("\"" + section.getKey() + "\" is unknown");
            }
        }
        return new ConfigurationChange(items.values());
    }

    private void readUpserts(Map<String, Object> tables) throws InvalidContentException {
        for (Map.Entry<String, Object> table : tables.entrySet()) {
            String path = UPSERT + "." + table.getKey();
            ItemType type = ItemType.of(table.getKey());
            if (type == null) {
                throw new InvalidContentException(path + " is not a known table");
            }
            Map<String, Object> content = object(path, table.getValue());
            if (type != ItemType.LIMITS) {
                readTable(path, type, content);
            } else if (!content.isEmpty()) {
                add(path, ItemKey.LIMITS, content, content);
            }
        }
    }

    private void readTable(String path, ItemType type, Map<String, Object> table) throws InvalidContentException {
        for (Map.Entry<String, Object> entry : table.entrySet()) {
            String name = entry.getKey();
            if (name.isBlank()) {
                throw new InvalidContentException(path + " has an item without a name");
            }
            String itemPath = path + "." + name;
            Map<String, Object> content = object(itemPath, entry.getValue());
            add(itemPath, new ItemKey(type, name), content, content);
        }
    }

    private void readWithdrawals(Map<String, Object> tables) throws InvalidContentException {
        for (Map.Entry<String, Object> table : tables.entrySet()) {
            String path = WITHDRAW + "." + table.getKey();
            ItemType type = ItemType.of(table.getKey());
            if (type == null || type == ItemType.LIMITS) {
                throw new InvalidContentException(path + " is not a table that items can be withdrawn from");
            }
            List<?> withdrawals = list(path, table.getValue());
            for (int i = 0; i < withdrawals.size(); i++) {
                String itemPath = path + "[" + i + "]";
                Map<String, Object> fields = object(itemPath, withdrawals.get(i));
                String name = new ContentFields(itemPath, fields).text("name");
                add(itemPath, new ItemKey(type, name), fields, null);
            }
        }
    }

    /** @param fields the object that the version is read from */
    private void add(String path, ItemKey key, Map<String, Object> fields, Map<String, Object> content)
            throws InvalidContentException {
        Item item = new Item(key, version(new ContentFields(path, fields)), content);
        Item other = items.putIfAbsent(new ItemVersion(key, item.version()), item);
        if (other != null && !other.hasSameContent(item)) {
            throw new InvalidContentException(path + ": " + key + " has different contents at one version");
        }
    }

    private static long version(ContentFields fields) throws InvalidContentException {
        String version = fields.text(VERSION);
        if (!VERSION_PATTERN.matcher(version).matches()) {
            throw fields.invalid(VERSION, "must be r followed by a number");
        }
        return Long.parseLong(version.substring(1));
    }

    private static List<?> list(String path, Object value) throws InvalidContentException {
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw new InvalidContentException(path + " must be a list");
        }
        return list;
    }

    private static Map<String, Object> object(String path, Object value) throws InvalidContentException {
        if (value == null) {
            return Map.of();
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidContentException(path + " must be an object");
        }
        Map<String, Object> object = new LinkedHashMap<>();
        map.forEach((name, each) -> object.put((String) name, each));
        return Collections.unmodifiableMap(object);
    }
}

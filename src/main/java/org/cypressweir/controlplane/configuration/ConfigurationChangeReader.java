package org.cypressweir.controlplane.configuration;

import java.io.IOException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** Parses the JSON of a configuration change; no other class knows its layout. Used once, by one thread. */
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
                case UPSERT -> readUpserts(object(UPSERT, RejectionCause.WHOLE_CHANGE, section.getValue()));
                case WITHDRAW -> readWithdrawals(object(WITHDRAW, RejectionCause.WHOLE_CHANGE, section.getValue()));
                default -> throw new InvalidContentException(
                        "\"" + section.getKey() + "\" is unknown", new RejectionCause.UnknownSection(section.getKey()));
            }
        }
        return new ConfigurationChange(items.values());
    }

    private void readUpserts(Map<String, Object> tables) throws InvalidContentException {
        for (Map.Entry<String, Object> table : tables.entrySet()) {
            String path = UPSERT + "." + table.getKey();
            RejectionCause cause = new RejectionCause.UpsertedTable(table.getKey());
            ItemType type = ItemType.of(table.getKey());
            if (type == null || !type.isSubmitted()) {
                throw new InvalidContentException(path + " is not a known table", cause);
            }
            Map<String, Object> content = object(path, cause, table.getValue());
            if (type != ItemType.LIMITS) {
                readTable(path, type, content);
            } else if (!content.isEmpty()) {
                upsert(path, ItemKey.LIMITS, content);
            }
        }
    }

    private void readTable(String path, ItemType type, Map<String, Object> table) throws InvalidContentException {
        for (Map.Entry<String, Object> entry : table.entrySet()) {
            String name = entry.getKey();
            if (name.isBlank()) {
                throw new InvalidContentException(
                        path + " has an item without a name", new RejectionCause.UpsertedTable(type.wireName()));
            }
            String itemPath = path + "." + name;
            ItemKey key = new ItemKey(type, name);
            upsert(itemPath, key, object(itemPath, new RejectionCause.InvalidItem(key), entry.getValue()));
        }
    }

    private void upsert(String path, ItemKey key, Map<String, Object> content) throws InvalidContentException {
        RejectionCause cause = new RejectionCause.InvalidItem(key);
        long version = version(new ContentFields(path, cause, content));
        // meshctl reports this as an error of the table.
        add(path, new RejectionCause.UpsertedTable(key.type().wireName()), new Item(key, version, content));
    }

    private void readWithdrawals(Map<String, Object> tables) throws InvalidContentException {
        for (Map.Entry<String, Object> table : tables.entrySet()) {
            String path = WITHDRAW + "." + table.getKey();
            RejectionCause cause = new RejectionCause.WithdrawnTable(table.getKey());
            ItemType type = ItemType.of(table.getKey());
            if (type == null || type == ItemType.LIMITS || !type.isSubmitted()) {
                throw new InvalidContentException(path + " is not a table that items can be withdrawn from", cause);
            }
            List<?> withdrawals = list(path, cause, table.getValue());
            for (int i = 0; i < withdrawals.size(); i++) {
                withdraw(
                        path + "[" + i + "]",
                        type,
                        new RejectionCause.WithdrawnItem(table.getKey(), i),
                        withdrawals.get(i));
            }
        }
    }

    private void withdraw(String path, ItemType type, RejectionCause cause, Object entry)
            throws InvalidContentException {
        ContentFields fields = new ContentFields(path, cause, object(path, cause, entry));
        ItemKey key = new ItemKey(type, fields.text("name"));
        add(path, cause, new Item(key, version(fields), null));
    }

    private void add(String path, RejectionCause cause, Item item) throws InvalidContentException {
        Item other = items.putIfAbsent(new ItemVersion(item.key(), item.version()), item);
        if (other != null && !other.hasSameContent(item)) {
            throw new InvalidContentException(
                    path + ": " + item.key() + " has different contents at one version", cause);
        }
    }

    private static long version(ContentFields fields) throws InvalidContentException {
        String version = fields.text(VERSION);
        if (!VERSION_PATTERN.matcher(version).matches()) {
            throw fields.invalid(VERSION, "must be r followed by a number");
        }
        return Long.parseLong(version.substring(1));
    }

    private static List<?> list(String path, RejectionCause cause, Object value) throws InvalidContentException {
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof List<?> list)) {
            throw new InvalidContentException(path + " must be a list", cause);
        }
        return list;
    }

    private static Map<String, Object> object(String path, RejectionCause cause, Object value)
            throws InvalidContentException {
        if (value == null) {
            return Map.of();
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new InvalidContentException(path + " must be an object", cause);
        }
        Map<String, Object> object = new LinkedHashMap<>();
        map.forEach((name, each) -> object.put((String) name, each));
        return Collections.unmodifiableMap(object);
    }
}

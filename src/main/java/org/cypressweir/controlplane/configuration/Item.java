package org.cypressweir.controlplane.configuration;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One item at one version. Content is what was sent, null where the item is withdrawn. The past holds the
 * lower versions that were taken, in their order: those that stood, and those that a higher one had passed
 * on their way. Of versions below the floor nothing is known any more.
 */
public record Item(ItemKey key, long version, Map<String, Object> content, List<SupersededVersion> past, long floor) {

    static final int MOST_PAST = 256;
    /** What the build kept that wrote no floors. */
    private static final int MOST_PAST_WITHOUT_FLOOR = 8;

    private static final String WITHDRAWN = "-";

    /** What has become of a version of this item, as far as it is known here. */
    enum Use {
        TAKEN,
        TAKEN_WITH_ANOTHER_CONTENT,
        UNUSED,
        FORGOTTEN
    }

    public Item {
        past = List.copyOf(past);
    }

    public Item(ItemKey key, long version, Map<String, Object> content) {
        this(key, version, content, List.of());
    }

    public Item(ItemKey key, long version, Map<String, Object> content, List<SupersededVersion> past) {
        this(key, version, content, past, 0);
    }

    public boolean withdrawn() {
        return content == null;
    }

    /** Whether both say the same at the same version, whatever stood before. */
    boolean says(Item other) {
        return version == other.version && print().equals(other.print());
    }

    /** What has become of the version at which another is ordered. */
    Use use(Item other) {
        if (other.version == version) {
            return says(other) ? Use.TAKEN : Use.TAKEN_WITH_ANOTHER_CONTENT;
        }
        for (SupersededVersion each : past) {
            if (each.version() == other.version) {
                return each.equals(other.asPast()) ? Use.TAKEN : Use.TAKEN_WITH_ANOTHER_CONTENT;
            }
        }
        return other.version < floor ? Use.FORGOTTEN : Use.UNUSED;
    }

    private SupersededVersion asPast() {
        return new SupersededVersion(version, print());
    }

    /** This item in place of another, whose version becomes past. */
    Item after(Item before) {
        return new Item(key, version, content, before.past, before.floor).past(before);
    }

    /** This item with a lower version in its past, as one that was taken. */
    Item past(Item lower) {
        List<SupersededVersion> all = new ArrayList<>(past);
        all.add(lower.asPast());
        all.sort(Comparator.comparingLong(SupersededVersion::version));
        int forgotten = Math.max(0, all.size() - MOST_PAST);
        return new Item(
                key,
                version,
                content,
                all.subList(forgotten, all.size()),
                forgotten == 0 ? floor : Math.max(floor, all.get(forgotten - 1).version() + 1));
    }

    /** This item without its past, for whoever takes no orders. */
    public Item bare() {
        return new Item(key, version, content);
    }

    /** A short text that is the same for the same content only. */
    String print() {
        if (content == null) {
            return WITHDRAWN;
        }
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256")
                    .digest(StrictJson.plain(content).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A number of all that is in it, for sums over items. */
    long sumPrint() {
        long print = 0xcbf29ce484222325L;
        List<String> superseded =
                past.stream().map(SupersededVersion::checksumText).toList();
        for (char c : (key + " " + version + " " + print() + " " + superseded).toCharArray()) {
            print = (print ^ c) * 0x100000001b3L;
        }
        return print ^ print >>> 29;
    }

    /** As a map ready for JSON. Content goes as a text, so that no reader on the way rounds its numbers. */
    public Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("table", key.table().wire());
        map.put("name", key.name());
        map.put("version", version);
        if (content != null) {
            map.put("content", StrictJson.of(content));
        }
        if (!past.isEmpty()) {
            List<Object> texts = new ArrayList<>();
            past.forEach(p -> texts.add(p.version() + ":" + p.print()));
            map.put("past", texts);
        }
        if (floor > 0 || past.size() >= MOST_PAST_WITHOUT_FLOOR) {
            map.put("floor", floor);
        }
        return map;
    }

    /** The same as a text. */
    public String toText() {
        return StrictJson.of(toMap());
    }

    /** Reads what {@link #toText} made; an IllegalArgumentException where it is something else. */
    public static Item ofText(String text) {
        try {
            return of(StrictJson.object(text));
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Reads what {@link #toMap} made; an IllegalArgumentException where it is something else. */
    public static Item of(Map<?, ?> map) {
        ItemType table = ItemType.of(map.get("table"));
        if (table == null
                || !(map.get("name") instanceof String name)
                || !(map.get("version") instanceof Number version)) {
            throw new IllegalArgumentException("no item");
        }
        List<SupersededVersion> past = new ArrayList<>();
        if (map.get("past") instanceof List<?> texts) {
            for (Object text : texts) {
                String[] parts = String.valueOf(text).split(":", 2);
                if (parts.length < 2) {
                    throw new IllegalArgumentException("no past");
                }
                past.add(new SupersededVersion(Long.parseLong(parts[0]), parts[1]));
            }
        }
        try {
            Map<String, Object> content = map.get("content") instanceof String text ? StrictJson.object(text) : null;
            long floor = map.get("floor") instanceof Number number
                    ? number.longValue()
                    : past.size() < MOST_PAST_WITHOUT_FLOOR ? 0 : past.get(0).version();
            return new Item(new ItemKey(table, name), version.longValue(), content, past, floor);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }
}

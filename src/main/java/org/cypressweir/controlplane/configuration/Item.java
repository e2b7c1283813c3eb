package org.cypressweir.controlplane.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * One configuration item at one version. Immutable.
 *
 * @param content what the operator submitted, null where the item is withdrawn
 * @param superseded the lower versions that were accepted, in ascending order: those that were in force, and
 *     those that arrived after a higher one
 * @param oldestKnownVersion of versions below it, it is no longer known whether they were accepted
 */
public record Item(
        ItemKey key,
        long version,
        Map<String, Object> content,
        List<SupersededVersion> superseded,
        long oldestKnownVersion) {

    static final int MAX_SUPERSEDED = 256;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** Whether a version of an item was accepted before. */
    enum VersionStatus {
        ACCEPTED,
        ACCEPTED_WITH_OTHER_CONTENT,
        UNUSED,
        TOO_OLD
    }

    public Item {
        superseded = List.copyOf(superseded);
    }

    public Item(ItemKey key, long version, Map<String, Object> content) {
        this(key, version, content, List.of());
    }

    public Item(ItemKey key, long version, Map<String, Object> content, List<SupersededVersion> superseded) {
        this(key, version, content, superseded, 0);
    }

    public boolean withdrawn() {
        return content == null;
    }

    /** Whether both have the same version and content, whatever they supersede. */
    boolean hasSameContent(Item other) {
        return version == other.version && contentHash().equals(other.contentHash());
    }

    /** Whether the version of another item was accepted before, as recorded in this one, the accepted item. */
    VersionStatus statusOf(Item other) {
        if (other.version == version) {
            return status(hasSameContent(other));
        }
        for (SupersededVersion each : superseded) {
            if (each.version() == other.version) {
                return status(each.equals(other.asSuperseded()));
            }
        }
        return other.version < oldestKnownVersion ? VersionStatus.TOO_OLD : VersionStatus.UNUSED;
    }

    private static VersionStatus status(boolean sameContent) {
        return sameContent ? VersionStatus.ACCEPTED : VersionStatus.ACCEPTED_WITH_OTHER_CONTENT;
    }

    private SupersededVersion asSuperseded() {
        return new SupersededVersion(version, contentHash());
    }

    /** This item as the successor of one with a lower version, with its history. */
    Item replacing(Item lower) {
        Item successor = new Item(key, version, content, lower.superseded, lower.oldestKnownVersion);
        return successor.withSuperseded(lower);
    }

    /** This item, with a lower version recorded as accepted and superseded. */
    Item withSuperseded(Item lower) {
        List<SupersededVersion> all = new ArrayList<>(superseded);
        all.add(lower.asSuperseded());
        all.sort(Comparator.comparingLong(SupersededVersion::version));
        int excess = Math.max(0, all.size() - MAX_SUPERSEDED);
        List<SupersededVersion> kept = all.subList(excess, all.size());
        if (excess == 0) {
            return new Item(key, version, content, kept, oldestKnownVersion);
        }
        long aboveDropped = all.get(excess - 1).version() + 1;
        return new Item(key, version, content, kept, Math.max(oldestKnownVersion, aboveDropped));
    }

    /** This item without the versions that it supersedes, for receivers that accept no changes. */
    public Item withoutHistory() {
        return new Item(key, version, content);
    }

    String contentHash() {
        return ContentHash.of(content);
    }

    /** A checksum over all fields, FNV-1a with a final mix, to be summed over items. Controllers compare it. */
    long checksum() {
        List<String> supersededTexts =
                superseded.stream().map(SupersededVersion::checksumText).toList();
        String text = key + " " + version + " " + contentHash() + " " + supersededTexts;
        long hash = FNV_OFFSET_BASIS;
        for (char character : text.toCharArray()) {
            hash = (hash ^ character) * FNV_PRIME;
        }
        return hash ^ hash >>> 29;
    }

    /** A map ready for JSON, see {@link ItemCodec}. */
    public Map<String, Object> toMap() {
        return ItemCodec.toMap(this);
    }

    /** A JSON text, see {@link ItemCodec}. */
    public String toText() {
        return ItemCodec.toText(this);
    }

    /**
     * Parses a text made by {@link #toText}.
     *
     * @throws IllegalArgumentException where the text is not an item
     */
    public static Item ofText(String text) {
        return ItemCodec.fromText(text);
    }

    /**
     * Reads a map made by {@link #toMap}.
     *
     * @throws IllegalArgumentException where the map is not an item
     */
    public static Item of(Map<?, ?> map) {
        return ItemCodec.fromMap(map);
    }
}

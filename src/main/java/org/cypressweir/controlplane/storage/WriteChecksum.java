package org.cypressweir.controlplane.storage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A checksum over the complete state, stored with each write. It detects a write that was not synced before a loss
 * of power, and that Xodus accepts although a sector in its middle is missing.
 *
 * @param writeCount the number of all writes to the store
 * @param itemsSum the sum of the checksums of all items, which does not depend on their order
 */
record WriteChecksum(long writeCount, long itemsSum) {

    static final WriteChecksum NONE = new WriteChecksum(0, 0);

    private static final int TEXT_PARTS = 3;

    /** The checksum of one item as it is stored. */
    static long ofItem(byte[] key, byte[] value) {
        CRC32C crc = new CRC32C();
        crc.update(key);
        crc.update(0);
        crc.update(value);
        return crc.getValue();
    }

    /** The text that is stored: both numbers, and a CRC over them and the other stored fields. */
    String toText(List<String> fields) {
        return writeCount + " " + itemsSum + " " + crc(fields);
    }

    /**
     * Parses a text made by {@link #toText}.
     *
     * @throws IllegalArgumentException where the text is malformed, or the fields do not match it
     */
    static WriteChecksum parse(String text, List<String> fields) {
        String[] parts = text.split(" ");
        if (parts.length != TEXT_PARTS) {
            throw new IllegalArgumentException("malformed checksum");
        }
        WriteChecksum checksum = new WriteChecksum(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        if (Long.parseLong(parts[2]) != checksum.crc(fields)) {
            throw new IllegalArgumentException("checksum mismatch of the fields");
        }
        return checksum;
    }

    private long crc(List<String> fields) {
        CRC32C crc = new CRC32C();
        crc.update((writeCount + " " + itemsSum).getBytes(StandardCharsets.UTF_8));
        for (String field : fields) {
            crc.update(0);
            crc.update(field.getBytes(StandardCharsets.UTF_8));
        }
        return crc.getValue();
    }
}

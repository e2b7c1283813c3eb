package org.cypressweir.controlplane.storage;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Is written with each change and tells whether all that was written with it and before is there: how many
 * writes there have been, the sum of all items' prints, and a print of these and the terms. What a loss of
 * power leaves of a write that was not synced may look whole to Xodus, with a sector missing in its middle.
 */
record WriteChecksum(long number, long sum) {

    static final WriteChecksum NONE = new WriteChecksum(0, 0);

    /** The print of an item as it is written. The sum of prints tells items apart in whatever order. */
    static long print(byte[] key, byte[] value) {
        CRC32C crc = new CRC32C();
        crc.update(key);
        crc.update(0);
        crc.update(value);
        return crc.getValue();
    }

    /** As a text, with a print of itself and of what stands beside it. */
    String over(List<String> terms) {
        return number + " " + sum + " " + check(terms);
    }

    /** Reads the text; an IllegalArgumentException where it is none or the terms are others. */
    static WriteChecksum of(String text, List<String> terms) {
        String[] parts = text.split(" ");
        if (parts.length != 3) {
            throw new IllegalArgumentException("no seal");
        }
        WriteChecksum seal = new WriteChecksum(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        if (Long.parseLong(parts[2]) != seal.check(terms)) {
            throw new IllegalArgumentException("the seal is of other terms");
        }
        return seal;
    }

    private long check(List<String> terms) {
        CRC32C crc = new CRC32C();
        crc.update((number + " " + sum).getBytes(StandardCharsets.UTF_8));
        for (String term : terms) {
            crc.update(0);
            crc.update(term.getBytes(StandardCharsets.UTF_8));
        }
        return crc.getValue();
    }
}

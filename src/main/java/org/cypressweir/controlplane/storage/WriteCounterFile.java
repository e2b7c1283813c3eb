package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A small file with a lower bound of the number of acknowledged writes. It is not synced, and so costs nothing:
 * after a loss of power it may hold an older count or an incomplete one, never a higher one. The count is written
 * twice in a row; an incomplete one is recognized by its two halves, which differ. A store whose own count is
 * lower has lost acknowledged writes. Not thread-safe.
 */
final class WriteCounterFile implements AutoCloseable {

    private static final int DIGITS = 19;
    private static final String SAME_COUNT_TWICE = "(\\d{" + DIGITS + "})\\1";
    private static final String COUNT_FORMAT = "%0" + DIGITS + "d";

    private final FileChannel channel;
    private long writeCount;

    WriteCounterFile(Path file) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        ByteBuffer bytes = ByteBuffer.allocate(2 * DIGITS);
        channel.read(bytes, 0);
        String text = new String(bytes.array(), 0, bytes.position(), StandardCharsets.ISO_8859_1);
        writeCount = text.matches(SAME_COUNT_TWICE) ? Long.parseLong(text.substring(0, DIGITS)) : 0;
    }

    /** The count that was read or stored last; 0 where the file was empty or incomplete. */
    long writeCount() {
        return writeCount;
    }

    void store(long acknowledgedWrites) throws IOException {
        writeCount = acknowledgedWrites;
        String count = String.format(COUNT_FORMAT, acknowledgedWrites);
        byte[] digits = (count + count).getBytes(StandardCharsets.ISO_8859_1);
        channel.write(ByteBuffer.wrap(digits), 0);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

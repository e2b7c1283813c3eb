package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A small file that tells, twice in a row, how many writes had come back at least. It is not synced, and so
 * costs nothing: a loss of power may leave an older number or a torn one, which is known by its two halves,
 * never a higher one. What stands at a lower number has lost writes that were told to be there.
 */
final class WriteCounterFile implements AutoCloseable {

    private static final int DIGITS = 19;

    private final FileChannel channel;
    private long number;

    WriteCounterFile(Path file) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        ByteBuffer bytes = ByteBuffer.allocate(2 * DIGITS);
        channel.read(bytes, 0);
        String text = new String(bytes.array(), 0, bytes.position(), StandardCharsets.ISO_8859_1);
        // One that can't be read, or that a loss of power has torn, tells nothing.
        number = text.matches("(\\d{" + DIGITS + "})\\1") ? Long.parseLong(text.substring(0, DIGITS)) : 0;
    }

    long number() {
        return number;
    }

    void saw(long written) throws IOException {
        number = written;
        String once = String.format("%0" + DIGITS + "d", written);
        byte[] digits = (once + once).getBytes(StandardCharsets.ISO_8859_1);
        channel.write(ByteBuffer.wrap(digits), 0);
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, each line with the seconds since the start. */
final class Record implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        String line = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - startedAt) / 1e9, text);
        out.println(line);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}

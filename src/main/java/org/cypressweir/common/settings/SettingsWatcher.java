package org.cypressweir.common.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * The settings file as it changes, with a signal or without one. What is broken, or names another node or
 * another address for its lines, changes nothing.
 */
public final class SettingsWatcher {

    private static final Logger LOG = Logger.getLogger(SettingsWatcher.class);

    private final Path file;
    private byte[] taken = {};
    private long modified;
    /** What this process began with: whose settings these are. */
    private NodeSettings began;

    public SettingsWatcher(Path file) {
        this.file = file;
    }

    /** Reads the file at the start; the lines say what is wrong with it. */
    public Either<List<String>, NodeSettings> first() {
        try {
            modified = Files.getLastModifiedTime(file).toMillis();
            taken = Files.readAllBytes(file);
        } catch (IOException e) {
            return Either.left(List.of(file + ": can't be read: " + e.getMessage()));
        }
        return NodeSettings.read(taken)
                .peek(papers -> began = papers)
                .mapLeft(lines -> lines.stream().map(l -> file + ": " + l).toList());
    }

    private boolean isSameNode(NodeSettings next) {
        return next.name().equals(began.name()) && next.lines(next.ip()).equals(began.lines(began.ip()));
    }

    /** To be called now and then; tells the new papers where they are others and can be read. */
    public void look(boolean signalled, Consumer<NodeSettings> changed) {
        try {
            long time = Files.getLastModifiedTime(file).toMillis();
            if (!signalled && time == modified) {
                return;
            }
            modified = time;
            byte[] now = Files.readAllBytes(file);
            if (Arrays.equals(now, taken)) {
                return;
            }
            taken = now;
            Either<List<String>, NodeSettings> read = NodeSettings.read(now);
            if (read.isLeft()) {
                LOG.warn("The new settings are not taken. " + file + ": " + String.join("; ", read.getLeft()));
            } else if (!isSameNode(read.get())) {
                LOG.warn("The new settings are not taken. " + file + ": they are another node's, "
                        + read.get().name() + " at "
                        + read.get().lines(read.get().ip()));
            } else {
                LOG.info("New settings are taken.");
                changed.accept(read.get());
            }
        } catch (IOException e) {
            LOG.warn("The settings can't be read: " + e.getMessage());
        }
    }
}

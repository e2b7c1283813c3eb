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
 * Loads the settings file and reloads it when it changes. A changed file is rejected as a whole, and logged, where
 * it is invalid or belongs to another node: a process can't change its name or its peer address.
 *
 * <p>Not thread-safe: {@link #load} first, then {@link #poll}, all from one thread. Both read the disk.
 */
public final class SettingsWatcher {

    private static final Logger LOG = Logger.getLogger(SettingsWatcher.class);

    private final Path file;
    private byte[] lastContent = {};
    private long lastModifiedMillis;
    /** The settings with which this process was started. */
    private NodeSettings initial;

    public SettingsWatcher(Path file) {
        this.file = file;
    }

    /** Reads the file at the start; on the left its problems, one line each. */
    public Either<List<String>, NodeSettings> load() {
        try {
            lastModifiedMillis = modifiedMillis();
            lastContent = Files.readAllBytes(file);
        } catch (IOException e) {
            return Either.left(List.of(file + ": can't be read: " + e.getMessage()));
        }
        return NodeSettings.read(lastContent)
                .peek(settings -> initial = settings)
                .mapLeft(problems ->
                        problems.stream().map(problem -> file + ": " + problem).toList());
    }

    /**
     * Reads the file if its modification time has changed, or in any case if forced; to be called periodically.
     *
     * @param onReload gets the new settings where the content is new and accepted
     */
    public void poll(boolean force, Consumer<NodeSettings> onReload) {
        try {
            long modifiedMillis = modifiedMillis();
            if (!force && modifiedMillis == lastModifiedMillis) {
                return;
            }
            lastModifiedMillis = modifiedMillis;
            byte[] content = Files.readAllBytes(file);
            if (!Arrays.equals(content, lastContent)) {
                lastContent = content;
                reload(content, onReload);
            }
        } catch (IOException e) {
            LOG.warnf("Settings can't be read file=%s cause=%s", file, e.getMessage());
        }
    }

    private long modifiedMillis() throws IOException {
        return Files.getLastModifiedTime(file).toMillis();
    }

    private void reload(byte[] content, Consumer<NodeSettings> onReload) {
        Either<List<String>, NodeSettings> settings = NodeSettings.read(content);
        if (settings.isLeft()) {
            logRejection(String.join("; ", settings.getLeft()));
        } else if (!isSameNode(settings.get())) {
            NodeSettings other = settings.get();
            logRejection("they belong to another node, " + other.name() + " at " + other.peerAddress(other.ip()));
        } else {
            LOG.infof("Settings reloaded file=%s", file);
            onReload.accept(settings.get());
        }
    }

    private boolean isSameNode(NodeSettings settings) {
        return settings.name().equals(initial.name())
                && settings.peerAddress(settings.ip()).equals(initial.peerAddress(initial.ip()));
    }

    private void logRejection(String reason) {
        LOG.warnf("Settings rejected file=%s reason=%s", file, reason);
    }
}

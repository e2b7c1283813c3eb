package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.cypressweir.sidecar.admin.RequestClassSlots;

/**
 * The reload of a running sidecar: reads its files again and puts them in force together, or not at all.
 *
 * <p>Files are read on the caller's thread, which must not be the event loop; the result is put in force in one
 * turn of the event loop. Whoever calls sees to it that one reload runs at a time.
 */
final class ConfigurationReloader {

    /** A reload that has not ended by then no longer holds up the next one. */
    static final long RELOAD_SECONDS = 30;

    private static final String PREFIX = "cypressweir-sidecar: ";

    private final EventLoop loop;
    private final AtomicReference<SidecarConfiguration> configuration;
    private final Layout layout;
    private final RequestReader reader;
    private final InFlightRequests inFlight;
    private final Discovery discovery;
    private final Listener listener;
    private final PrintStream log;

    /** Is told of what the reloader has no part in. */
    interface Listener {
        /** A change is put in force in this turn of the event loop; the configuration is still the one before. */
        void reloading(Layout.Change change);
    }

    ConfigurationReloader(
            EventLoop loop,
            AtomicReference<SidecarConfiguration> configuration,
            Layout layout,
            RequestReader reader,
            InFlightRequests inFlight,
            Discovery discovery,
            Listener listener,
            PrintStream log) {
        this.loop = loop;
        this.configuration = configuration;
        this.layout = layout;
        this.reader = reader;
        this.inFlight = inFlight;
        this.discovery = discovery;
        this.listener = listener;
        this.log = log;
    }

    /** Reloads and waits for the end; whatever goes wrong is logged, and the next reload is not affected. */
    void reloadAndWait(Map<String, String> environment) {
        try {
            reload(environment).get(RELOAD_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException | RuntimeException e) {
            reject(PREFIX + "the files were not taken over: " + e);
        }
    }

    /**
     * Reads the files again and puts in force the operators' file, if there is one, the classes and attempts of
     * the settings, and the address of discovery, which goes before what the environment said at the start. A
     * file with any error changes nothing.
     *
     * @return done once all is in force or rejected
     */
    CompletableFuture<Void> reload(Map<String, String> environment) {
        try {
            SidecarConfiguration read = SidecarConfiguration.reread(environment, configuration.get());
            SidecarConfiguration next = keepClassSlots(read);
            Layout.Change change = layout.reread(next);
            // All in one turn of the loop: no request finds one part of it as it was and another anew. It is
            // a later turn than the one that numbered the classes, which holds for what has come since.
            return CompletableFuture.supplyAsync(() -> change.take().thenRun(() -> adopt(next, change)), loop)
                    .thenCompose(taken -> taken)
                    .exceptionally(e -> {
                        reject(PREFIX + (e.getCause() == null ? e : e.getCause().getMessage()));
                        return null;
                    });
        } catch (IOException | RuntimeException e) {
            reject(errorText(e));
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Classes that requests in flight have keep their numbers. */
    private SidecarConfiguration keepClassSlots(SidecarConfiguration read) {
        return read.with(CompletableFuture.supplyAsync(
                        () -> RequestClassSlots.place(
                                configuration.get().settings().classes(),
                                read.settings().classes(),
                                inFlight.classes()),
                        loop)
                .join());
    }

    private void adopt(SidecarConfiguration next, Layout.Change change) {
        listener.reloading(change);
        configuration.set(next);
        reader.retune(next.settings());
        inFlight.figures().show(next.classNames());
        inFlight.figures().reconfigured(true);
        discovery.move(next.discovery());
    }

    private void reject(String reason) {
        log.println(reason + "; the old configuration stays");
        loop.execute(() -> inFlight.figures().reconfigured(false));
    }

    /** One line, but for the errors of an operators' file, which have a line each. */
    static String errorText(Exception e) {
        return e instanceof OperatorsRejected
                ? e.getMessage()
                : PREFIX + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }
}

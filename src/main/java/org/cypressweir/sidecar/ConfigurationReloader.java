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
 * Reloads the configuration of a running sidecar: reads its files again and applies all of them together, or none.
 *
 * <p>Files are read on the caller's thread, which must not be the event loop; the result is applied in one turn of the
 * event loop. The caller ensures that only one reload runs at a time.
 */
final class ConfigurationReloader {

    /** After this time the next reload no longer waits for an unfinished one. */
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

    /** Listens for changes that concern parts the reloader does not handle itself. */
    interface Listener {
        /** A change is being applied in this turn of the event loop; the configuration is still the previous one. */
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

    /** Reloads and waits for the result. Failures are logged and do not affect the next reload. */
    void reloadAndWait(Map<String, String> environment) {
        try {
            reload(environment).get(RELOAD_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException | RuntimeException e) {
            reject(PREFIX + "the reload failed: " + e);
        }
    }

    /**
     * Reads the files again and applies the operators' file, if there is one, the request classes and attempt limits of
     * the settings, and the discovery address, which takes precedence over the one from the environment. A file with
     * any error changes nothing.
     *
     * @return completes once everything is applied or rejected
     */
    CompletableFuture<Void> reload(Map<String, String> environment) {
        try {
            SidecarConfiguration read = SidecarConfiguration.reread(environment, configuration.get());
            SidecarConfiguration next = keepClassSlots(read);
            Layout.Change change = layout.reload(next);
            // Everything is applied in one turn of the event loop, so no request sees a mix of old and new parts. That
            // turn is later than the one that assigned the class indexes, which stay valid for requests that arrived in
            // between.
            return CompletableFuture.supplyAsync(() -> change.apply().thenRun(() -> adopt(next, change)), loop)
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

    /** Classes used by requests in flight keep their indexes. */
    private SidecarConfiguration keepClassSlots(SidecarConfiguration read) {
        return read.with(CompletableFuture.supplyAsync(
                        () -> RequestClassSlots.assign(
                                configuration.get().settings().classes(),
                                read.settings().classes(),
                                inFlight.classes()),
                        loop)
                .join());
    }

    private void adopt(SidecarConfiguration next, Layout.Change change) {
        listener.reloading(change);
        configuration.set(next);
        reader.reconfigure(next.settings());
        inFlight.metrics().addClasses(next.classNames());
        inFlight.metrics().reconfigured(true);
        discovery.setAddress(next.discovery());
    }

    private void reject(String reason) {
        log.println(reason + "; the old configuration stays");
        loop.execute(() -> inFlight.metrics().reconfigured(false));
    }

    /** A single line, except for the errors of an operators' file, which have one line each. */
    static String errorText(Exception e) {
        return e instanceof OperatorFileRejectedException
                ? e.getMessage()
                : PREFIX + String.valueOf(e.getMessage()).replaceAll("\\s+", " ");
    }
}

package org.cypressweir.sidecar.cli;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cypressweir.sidecar.plugin.InvalidPluginException;
import org.cypressweir.sidecar.plugin.PluginHost;
import org.cypressweir.sidecar.plugin.RequestView;
import org.cypressweir.sidecar.plugin.RequestedChanges;
import org.cypressweir.sidecar.route.PluginGrant;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code plugin run FILE --request ...}: what a module would change of one request. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "run",
        description = "Show what a module wishes for one request.")
final class PluginRunCommand implements Callable<Integer> {

    private static final long PATIENCE_MILLIS = 1_000;

    @Mixin
    private PluginFile file;

    @Option(names = "--request", required = true, paramLabel = "'METHOD PATH'", description = "the request")
    private String request;

    @Option(names = "--class", defaultValue = "", description = "the class that its route would give it")
    private String requestClass;

    @Mixin
    private HeaderOptions headers;

    @Option(names = "--grant-header", paramLabel = "NAME", description = "a header that it may set or remove")
    private List<String> granted = List.of();

    @Option(names = "--grant-class", paramLabel = "NAME", description = "a class that it may give")
    private List<String> classes = List.of();

    @Option(names = "--grant-refuse", description = "let it refuse")
    private boolean refuse;

    @Option(names = "--config", paramLabel = "NAME=VALUE", description = "what it may read by name")
    private Map<String, String> config = Map.of();

    @Override
    public Integer call() throws InterruptedException {
        byte[] module = file.read();
        if (module == null) {
            return CommandLineTool.BAD;
        }
        int space = request.trim().indexOf(' ');
        if (space < 0) {
            return file.bad("--request takes a method and a path, such as 'GET /search/1'");
        }
        Map<String, String> fields;
        try {
            fields = headers.fields();
        } catch (IllegalArgumentException e) {
            return file.bad(e.getMessage());
        }
        Set<String> names = new HashSet<>();
        granted.forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
        PluginGrant grant = new PluginGrant(names, Set.copyOf(classes), Set.of(), refuse);
        CompletableFuture<RequestedChanges> wishes = new CompletableFuture<>();
        try (PluginHost host = new PluginHost(file.plan(module, grant, config), Runnable::run)) {
            host.ask(
                    new RequestView(
                            request.trim().substring(0, space),
                            request.trim().substring(space + 1).trim(),
                            fields,
                            requestClass),
                    new PluginHost.Heard() {
                        @Override
                        public void done(RequestedChanges w) {
                            wishes.complete(w);
                        }

                        @Override
                        public void failed(String why) {
                            wishes.completeExceptionally(new IllegalStateException(why));
                        }
                    });
            show(wishes.get(PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
            return 0;
        } catch (InvalidPluginException e) {
            return file.bad(e.getMessage());
        } catch (ExecutionException e) {
            return file.bad("it failed: " + e.getCause().getMessage());
        } catch (TimeoutException e) {
            return file.bad("no answer within " + PATIENCE_MILLIS + " ms");
        }
    }

    private void show(RequestedChanges w) {
        w.headers().forEach((name, value) -> file.out()
                .println(value.isEmpty() ? "removes header " + name : "sets header " + name + ": " + value));
        if (w.requestClass() != null) {
            file.out().println("gives class " + w.requestClass());
        }
        if (w.refusal() != null) {
            file.out()
                    .println("refuses: " + w.refusal()
                            + (w.retryAfterMillis() == 0 ? "" : ", come back after " + w.retryAfterMillis() + " ms"));
        }
        w.notes().forEach(n -> file.out().println("logs " + n));
        if (w.equals(RequestedChanges.NONE)) {
            file.out().println("wishes nothing");
        }
    }
}

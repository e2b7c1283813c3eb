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

/** {@code plugin run FILE --request ...}: shows what a module would change in one request. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "run",
        description = "Show the changes that a module requests for one request.")
final class PluginRunCommand implements Callable<Integer> {

    private static final long TIMEOUT_MILLIS = 1_000;

    @Mixin
    private PluginFile file;

    @Option(names = "--request", required = true, paramLabel = "'METHOD PATH'", description = "the request")
    private String request;

    @Option(names = "--class", defaultValue = "", description = "the class that its route would assign")
    private String requestClass;

    @Mixin
    private HeaderOptions headers;

    @Option(names = "--grant-header", paramLabel = "NAME", description = "a header that the plug-in may set or remove")
    private List<String> grantedHeaders = List.of();

    @Option(names = "--grant-class", paramLabel = "NAME", description = "a class that the plug-in may assign")
    private List<String> grantedClasses = List.of();

    @Option(names = "--grant-refuse", description = "allow the plug-in to refuse requests")
    private boolean refuse;

    @Option(names = "--config", paramLabel = "NAME=VALUE", description = "a configuration value for the plug-in")
    private Map<String, String> config = Map.of();

    @Override
    public Integer call() throws InterruptedException {
        byte[] module = file.read();
        if (module == null) {
            return CommandLineTool.EXIT_INVALID_INPUT;
        }
        int space = request.trim().indexOf(' ');
        if (space < 0) {
            return file.fail("--request takes a method and a path, such as 'GET /search/1'");
        }
        Map<String, String> fields;
        try {
            fields = headers.fields();
        } catch (IllegalArgumentException e) {
            return file.fail(e.getMessage());
        }
        Set<String> names = new HashSet<>();
        grantedHeaders.forEach(n -> names.add(n.toLowerCase(Locale.ROOT)));
        PluginGrant grant = new PluginGrant(names, Set.copyOf(grantedClasses), Set.of(), refuse);
        CompletableFuture<RequestedChanges> changesFuture = new CompletableFuture<>();
        try (PluginHost host = new PluginHost(file.configuration(module, grant, config), Runnable::run)) {
            host.submit(
                    new RequestView(
                            request.trim().substring(0, space),
                            request.trim().substring(space + 1).trim(),
                            fields,
                            requestClass),
                    new PluginHost.ResultListener() {
                        @Override
                        public void done(RequestedChanges changes) {
                            changesFuture.complete(changes);
                        }

                        @Override
                        public void failed(String why) {
                            changesFuture.completeExceptionally(new IllegalStateException(why));
                        }
                    });
            show(changesFuture.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            return 0;
        } catch (InvalidPluginException e) {
            return file.fail(e.getMessage());
        } catch (ExecutionException e) {
            return file.fail("the plug-in failed: " + e.getCause().getMessage());
        } catch (TimeoutException e) {
            return file.fail("no response within " + TIMEOUT_MILLIS + " ms");
        }
    }

    private void show(RequestedChanges changes) {
        changes.headers().forEach((name, value) -> file.out()
                .println(value.isEmpty() ? "removes header " + name : "sets header " + name + ": " + value));
        if (changes.requestClass() != null) {
            file.out().println("assigns class " + changes.requestClass());
        }
        if (changes.refusal() != null) {
            file.out()
                    .println("refuses: " + changes.refusal()
                            + (changes.retryAfterMillis() == 0
                                    ? ""
                                    : ", retry after " + changes.retryAfterMillis() + " ms"));
        }
        changes.logLines().forEach(n -> file.out().println("logs " + n));
        if (changes.equals(RequestedChanges.NONE)) {
            file.out().println("requests no changes");
        }
    }
}

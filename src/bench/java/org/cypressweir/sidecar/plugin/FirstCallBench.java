package org.cypressweir.sidecar.plugin;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cypressweir.sidecar.route.PluginGrant;
import org.cypressweir.testkit.PluginModules;

/**
 * Duration of the first two real calls of a newly created plug-in, compared with the default deadline of 5 ms.
 * Argument: the number of plug-ins. Run it on an idle machine and under load.
 */
public final class FirstCallBench {

    private static final double DEADLINE_MILLIS = 5;

    private FirstCallBench() {}

    public static void main(String[] args) throws Exception {
        int plugins = Integer.parseInt(args[0]);
        double[] first = new double[plugins];
        double[] second = new double[plugins];
        double[] made = new double[plugins];
        for (int i = 0; i < plugins; i++) {
            long since = System.nanoTime();
            try (PluginHost host = new PluginHost(
                    PluginModules.configuration(
                            "refuse", new PluginGrant(Set.of(), Set.of(), Set.of(), true), Map.of()),
                    Runnable::run)) {
                made[i] = (System.nanoTime() - since) / 1e6;
                first[i] = call(host);
                second[i] = call(host);
            }
        }
        print("made", made);
        print("first call", first);
        print("second call", second);
    }

    private static double call(PluginHost host) throws Exception {
        CompletableFuture<RequestedChanges> heard = new CompletableFuture<>();
        long since = System.nanoTime();
        host.submit(new RequestView("GET", "/pay/7", Map.of(), "search"), new PluginHost.ResultListener() {
            @Override
            public void done(RequestedChanges wishes) {
                heard.complete(wishes);
            }

            @Override
            public void failed(String why) {
                heard.completeExceptionally(new IllegalStateException(why));
            }
        });
        heard.get(10, TimeUnit.SECONDS);
        return (System.nanoTime() - since) / 1e6;
    }

    private static void print(String name, double[] millis) {
        double[] sorted = millis.clone();
        Arrays.sort(sorted);
        System.out.printf(
                "%-12s the very first %.2f ms, median %.2f, most %.2f; %d of %d past %.0f ms%n",
                name,
                millis[0],
                sorted[sorted.length / 2],
                sorted[sorted.length - 1],
                Arrays.stream(millis).filter(m -> m > DEADLINE_MILLIS).count(),
                millis.length,
                DEADLINE_MILLIS);
    }
}

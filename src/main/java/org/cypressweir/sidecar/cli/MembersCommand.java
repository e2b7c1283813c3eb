package org.cypressweir.sidecar.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code members --door ADDRESS}: prints the members of the fleet as one sidecar sees them. */
@Command(
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        name = "members",
        description = "Print the members of a fleet as one sidecar sees them: exit status"
                + " 0, 1 where it can't be reached or is not a member, 2 for a bad command line.")
final class MembersCommand extends AdminCommand {

    private static final int TIMEOUT_MILLIS = 2_000;

    @Option(names = "--watch", description = "print again every second until interrupted")
    private boolean watch;

    @Override
    int execute(InetSocketAddress address) throws InterruptedException {
        int status = print(address);
        while (watch) {
            TimeUnit.SECONDS.sleep(1);
            status = print(address);
        }
        return status;
    }

    private int print(InetSocketAddress address) {
        String response;
        try {
            response = new AdminClient(address, TIMEOUT_MILLIS).send("MEMBERS");
        } catch (IOException e) {
            return report("admin listener at " + adminAddress() + " can't be reached: " + e.getMessage(), 1);
        }
        int end = response.indexOf('\n');
        String first = end < 0 ? response : response.substring(0, end);
        if (!first.startsWith("{")) {
            return report("the sidecar at " + adminAddress() + " responded: " + first, 1);
        }
        try (JsonParser parser = new JsonFactory().createParser(first)) {
            printTable(Json.document(parser));
            return 0;
        } catch (IOException e) {
            return report("admin listener at " + adminAddress() + " returned no member table: " + e.getMessage(), 1);
        }
    }

    private void printTable(Map<?, ?> m) {
        PrintWriter out = commandLine().getOut();
        out.println("as " + m.get("self") + " sees it, incarnation " + m.get("incarnation") + ": " + m.get("live")
                + " live");
        if (m.get("share") instanceof Map<?, ?> share) {
            out.println("it may use " + share.get("part") + " of the shared limits, "
                    + (Boolean.TRUE.equals(share.get("claims"))
                            ? "as one of " + share.get("count")
                            : "the minimum: most voters have not counted it for long enough"));
        }
        out.println(row("NAME", "STATE", "INC", "ADDRESS", "FRONT", "SERVES", "LOAD"));
        Map<?, ?> details = Json.object(m, "details");
        for (Map.Entry<?, ?> e : Json.object(m, "members").entrySet()) {
            Map<?, ?> d = Json.object(details, String.valueOf(e.getKey()));
            out.println(row(
                    e.getKey(),
                    e.getValue(),
                    d.get("incarnation"),
                    d.get("address"),
                    d.get("front"),
                    d.get("state"),
                    d.get("load")));
        }
        out.flush();
    }

    private static String row(
            Object name, Object state, Object incarnation, Object address, Object front, Object serves, Object load) {
        return String.format(
                        Locale.ROOT,
                        "%-20s %-11s %4s %-21s %-21s %-9s %s",
                        name,
                        state,
                        incarnation,
                        address,
                        front == null ? "-" : front,
                        serves == null ? "-" : serves,
                        load == null ? "-" : load)
                .stripTrailing();
    }
}

package org.cypressweir.meshctl;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Addresses;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** What all questions have in common: whom to ask, what to show of the answers, and the exit status. */
abstract class Query implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--at",
            paramLabel = "ADDRESS",
            description = "A controlPlane address to ask; may be "
                    + "repeated. Without it that of the shell or the settings file in CYPRESSWEIR_NODE_FILE.")
    private List<String> at = new ArrayList<>();

    @Option(
            names = "--timeout",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "How long each has to answer, in milliseconds (${DEFAULT-VALUE}).")
    private long timeout;

    @Option(names = "--json", description = "One JSON object: rows, and who is silent.")
    private boolean json;

    @Option(
            names = "--where",
            paramLabel = "COLUMN=VALUE",
            description = "Only rows that say so; may be " + "repeated, all hold.")
    private List<String> where = new ArrayList<>();

    @Option(names = "--columns", paramLabel = "A,B", split = ",", description = "Only these, in this order.")
    private List<String> shown = new ArrayList<>();

    @Option(names = "--sort", paramLabel = "COLUMN", description = "By this; numbers by size.")
    private String sort;

    @Option(names = "--watch", paramLabel = "SECONDS", description = "Ask again and again until ended.")
    private double watch;

    @Option(names = "--all", description = "Ask also all that those tell of, and who these tell of.")
    private boolean all;

    @Option(names = "--only", description = "Ask nobody else, where a single address would be enough to ask " + "all.")
    private boolean only;

    /** All columns that there are. */
    abstract List<String> columns();

    /** Rows of one answer, without where it came from. */
    abstract List<Map<String, Object>> rows(Map<String, Object> state);

    /** Rows of all answers. */
    List<Map<String, Object>> table(List<NodeResponse> heard) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (NodeResponse one : heard) {
            for (Map<String, Object> row : rows(one.state())) {
                Map<String, Object> whole = JsonCodec.map("at", one.at());
                whole.putAll(row);
                rows.add(whole);
            }
        }
        return rows;
    }

    /** Whether a row is of one process, which is then told. */
    boolean isOfEach() {
        return true;
    }

    /** Whether one address is enough to ask all. */
    boolean wide() {
        return false;
    }

    /** Asks; who doesn't answer is among what comes back. */
    List<NodeResponse> ask(FanOutClient asker, List<String> addresses) {
        String path = ApiCall.STATE.path() + (items() ? "?items" : "");
        return all || wide() && !only && addresses.size() == 1
                ? new FleetDiscovery(some -> asker.ask(some, path)).of(addresses)
                : asker.ask(addresses, path);
    }

    /** Whom to ask. */
    List<String> addresses() {
        List<String> usual = bridge().usual();
        return !at.isEmpty() ? at : !usual.isEmpty() ? usual : List.of(own());
    }

    /** Whether the list of items is wanted. */
    boolean items() {
        return false;
    }

    /** The status where all have answered. */
    int status(TablePrinter sheet) {
        return MeshCtl.DONE;
    }

    final PrintWriter err() {
        return spec.commandLine().getErr();
    }

    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Override
    public Integer call() {
        List<String> addresses = addresses();
        addresses.forEach(this::checked);
        List<String> names = new ArrayList<>(isOfEach() ? List.of("at") : List.of());
        names.addAll(columns());
        shown.forEach(column -> known(column, names));
        if (sort != null) {
            known(sort, names);
        }
        for (String one : where) {
            if (one.indexOf('=') < 1) {
                throw wrong("--where takes COLUMN=VALUE, not '" + one + "'");
            }
            known(one.substring(0, one.indexOf('=')), names);
        }
        if (timeout < 1 || watch < 0) {
            throw wrong("times are above 0");
        }
        FanOutClient asker = new FanOutClient(timeout);
        while (true) {
            int status = once(asker, addresses, names);
            if (watch == 0) {
                return status;
            }
            try {
                Thread.sleep(Math.max(100, (long) (watch * 1000)));
            } catch (InterruptedException e) {
                return status;
            }
            if (!json) {
                out().println();
            }
        }
    }

    private int once(FanOutClient asker, List<String> addresses, List<String> names) {
        List<NodeResponse> said = ask(asker, addresses);
        TablePrinter sheet = new TablePrinter(
                names, table(said.stream().filter(one -> !one.silent()).toList()));
        for (String one : where) {
            int equals = one.indexOf('=');
            sheet = sheet.where(one.substring(0, equals), one.substring(equals + 1));
        }
        sheet = sort == null ? sheet : sheet.sorted(sort);
        TablePrinter last = shown.isEmpty() ? sheet : sheet.cut(shown);
        List<NodeResponse> silent = said.stream().filter(NodeResponse::silent).toList();
        show(last, silent, silent.size() == said.size());
        return silent.size() == said.size() ? MeshCtl.NOBODY : !silent.isEmpty() ? MeshCtl.SOME_SILENT : status(sheet);
    }

    private void show(TablePrinter sheet, List<NodeResponse> silent, boolean nobody) {
        if (json) {
            List<Object> names = new ArrayList<>();
            silent.forEach(s -> names.add(JsonCodec.map("at", s.at(), "name", s.name(), "why", s.why())));
            out().println(new String(
                    JsonCodec.bytes(JsonCodec.map("rows", sheet.rows(), "silent", names)), StandardCharsets.UTF_8));
        } else if (!nobody) {
            List<String> lines = sheet.lines();
            out().println(bridge().paint().head(lines.get(0)));
            lines.subList(1, lines.size()).forEach(out()::println);
        }
        out().flush();
        silent.forEach(s -> err().println(bridge().paint().bad("cypressweir: " + s.complaint())));
        err().flush();
    }

    private MeshCtl bridge() {
        return (MeshCtl) spec.root().userObject();
    }

    private void checked(String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw wrong(e.getMessage());
        }
    }

    private String own() {
        String file = System.getenv("CYPRESSWEIR_NODE_FILE");
        try {
            String address = file == null
                    ? null
                    : NodeSettings.read(Files.readAllBytes(Path.of(file)))
                            .map(papers -> papers.listen().get("controlPlane"))
                            .getOrNull();
            if (address != null) {
                return address;
            }
        } catch (IOException e) {
            throw wrong("--at ADDRESS is missing, and " + file + " can't be read");
        }
        throw wrong("--at ADDRESS is missing");
    }

    private void known(String column, List<String> all) {
        if (!all.contains(column)) {
            throw wrong("no column " + column + "; there are " + String.join(", ", all));
        }
    }

    final ParameterException wrong(String why) {
        return new ParameterException(spec.commandLine(), why);
    }

    /** The objects of a list in an answer. */
    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> in, String name) {
        List<Map<String, Object>> objects = new ArrayList<>();
        if (in.get(name) instanceof List<?> list) {
            list.forEach(one -> {
                if (one instanceof Map<?, ?> map) {
                    objects.add((Map<String, Object>) map);
                }
            });
        }
        return objects;
    }
}

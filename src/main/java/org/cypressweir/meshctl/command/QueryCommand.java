package org.cypressweir.meshctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * A command that queries running processes and prints a table of their responses. A subclass defines the rows for a
 * state; this class sends the requests, applies the options and determines the exit status. An instance runs once.
 */
public abstract class QueryCommand implements Callable<Integer> {

    private static final String ADDRESS_COLUMN = "at";
    private static final String SETTINGS_FILE_VARIABLE = "CYPRESSWEIR_NODE_FILE";
    private static final long MIN_WATCH_MILLIS = 100;

    @Spec
    private CommandSpec spec;

    @Mixin
    private QueryOptions options;

    /** The columns of the table, without the one for the queried address. */
    public abstract List<String> columns();

    /** The rows of one state, without the queried address. */
    abstract List<Row> rows(NodeState state);

    /** The rows of all successful responses. */
    List<Row> combinedRows(List<NodeResponse> responses) {
        List<Row> rows = new ArrayList<>();
        for (NodeResponse response : responses) {
            for (Row row : rows(response.state())) {
                rows.add(new Row().put(ADDRESS_COLUMN, response.address()).putAll(row));
            }
        }
        return rows;
    }

    /** Whether each row belongs to one process; if so, its address is a column. */
    boolean rowsHaveAddress() {
        return true;
    }

    /** Whether a single address makes the command query the whole fleet. */
    boolean queriesFleet() {
        return false;
    }

    /** Whether the rows need the items of the configuration. */
    boolean needsItems() {
        return false;
    }

    /** The exit status if all processes have responded. */
    int exitStatus(TablePrinter table) {
        return ExitStatus.OK;
    }

    /** The responses of all queried processes, including failures. */
    List<NodeResponse> query(FanOutClient client, List<String> addresses) {
        String path = ApiCall.STATE.path() + (needsItems() ? "?items" : "");
        boolean discover = options.wholeFleet || queriesFleet() && !options.onlyGiven && addresses.size() == 1;
        return discover
                ? new FleetDiscovery(found -> client.get(found, path)).discover(addresses)
                : client.get(addresses, path);
    }

    /** The addresses to query. */
    List<String> addresses() {
        if (!options.addresses.isEmpty()) {
            return options.addresses;
        }
        List<String> defaults = context().defaultAddresses();
        return defaults.isEmpty() ? List.of(addressOfSettingsFile()) : defaults;
    }

    @Override
    public Integer call() {
        List<String> addresses = addresses();
        addresses.forEach(this::checkAddress);
        List<String> available = new ArrayList<>(rowsHaveAddress() ? List.of(ADDRESS_COLUMN) : List.of());
        available.addAll(columns());
        List<RowCondition> conditions = checkOptions(available);
        FanOutClient client = new FanOutClient(options.timeoutMillis);
        while (true) {
            int status = queryOnce(client, addresses, available, conditions);
            if (options.watchSeconds == 0) {
                return status;
            }
            try {
                Thread.sleep(Math.max(MIN_WATCH_MILLIS, (long) (options.watchSeconds * 1000)));
            } catch (InterruptedException e) {
                return status;
            }
            if (!options.json) {
                output().printEmptyLine();
            }
        }
    }

    private int queryOnce(
            FanOutClient client, List<String> addresses, List<String> available, List<RowCondition> conditions) {
        List<NodeResponse> responses = query(client, addresses);
        List<NodeResponse> succeeded =
                responses.stream().filter(response -> !response.failed()).toList();
        List<NodeResponse> failed =
                responses.stream().filter(NodeResponse::failed).toList();
        TablePrinter table = new TablePrinter(available, combinedRows(succeeded));
        for (RowCondition condition : conditions) {
            table = table.filter(condition.column(), condition.value());
        }
        if (options.sortColumn != null) {
            table = table.sort(options.sortColumn);
        }
        print(options.columns.isEmpty() ? table : table.select(options.columns), failed, succeeded.isEmpty());
        if (succeeded.isEmpty()) {
            return ExitStatus.FAILED;
        }
        return failed.isEmpty() ? exitStatus(table) : ExitStatus.PARTIAL;
    }

    private void print(TablePrinter table, List<NodeResponse> failed, boolean allFailed) {
        QueryOutput output = output();
        if (options.json) {
            output.printJson(table, failed);
        } else if (!allFailed) {
            output.printText(table);
        }
        output.printFailures(failed);
    }

    private List<RowCondition> checkOptions(List<String> available) {
        options.columns.forEach(column -> checkColumn(column, available));
        if (options.sortColumn != null) {
            checkColumn(options.sortColumn, available);
        }
        List<RowCondition> conditions = new ArrayList<>();
        for (String text : options.conditions) {
            RowCondition condition = RowCondition.parse(text);
            if (condition == null) {
                throw usageError("--where takes COLUMN=VALUE, not '" + text + "'");
            }
            checkColumn(condition.column(), available);
            conditions.add(condition);
        }
        if (options.timeoutMillis < 1 || options.watchSeconds < 0) {
            throw usageError("--timeout and --watch must be positive");
        }
        return conditions;
    }

    private void checkColumn(String column, List<String> available) {
        if (!available.contains(column)) {
            throw usageError("unknown column " + column + "; available: " + String.join(", ", available));
        }
    }

    private void checkAddress(String address) {
        try {
            Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            throw usageError(e.getMessage());
        }
    }

    private String addressOfSettingsFile() {
        String file = System.getenv(SETTINGS_FILE_VARIABLE);
        if (file == null) {
            throw usageError("--at ADDRESS is missing");
        }
        try {
            String address = NodeSettings.read(Files.readAllBytes(Path.of(file)))
                    .map(settings -> settings.listen().get("controlPlane"))
                    .getOrNull();
            if (address != null) {
                return address;
            }
        } catch (IOException e) {
            throw usageError("--at ADDRESS is missing, and " + file + " can't be read");
        }
        throw usageError("--at ADDRESS is missing");
    }

    private CommandContext context() {
        return (CommandContext) spec.root().userObject();
    }

    private QueryOutput output() {
        CommandLine commandLine = spec.commandLine();
        return new QueryOutput(
                commandLine.getOut(), commandLine.getErr(), context().style());
    }

    private ParameterException usageError(String message) {
        return new ParameterException(spec.commandLine(), message);
    }
}

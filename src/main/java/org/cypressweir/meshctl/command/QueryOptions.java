package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;

/** The options of every command that queries running processes. */
final class QueryOptions {

    @Option(
            names = "--at",
            paramLabel = "ADDRESS",
            description = "The controlPlane address of a process to query; may be repeated. Default: the addresses of "
                    + "the shell, or the one in the settings file that CYPRESSWEIR_NODE_FILE names.")
    List<String> addresses = new ArrayList<>();

    @Option(
            names = "--timeout",
            paramLabel = "MS",
            defaultValue = "2000",
            description = "How long each process has to respond, in milliseconds (default: ${DEFAULT-VALUE}).")
    long timeoutMillis;

    @Option(names = "--json", description = "Print one JSON object: the rows, and the processes without a response.")
    boolean json;

    @Option(
            names = "--where",
            paramLabel = "COLUMN=VALUE",
            description = "Only rows with this value; may be repeated, all conditions must hold.")
    List<String> conditions = new ArrayList<>();

    @Option(names = "--columns", paramLabel = "A,B", split = ",", description = "Only these columns, in this order.")
    List<String> columns = new ArrayList<>();

    @Option(names = "--sort", paramLabel = "COLUMN", description = "Sort by this column; numbers by value.")
    String sortColumn;

    @Option(names = "--watch", paramLabel = "SECONDS", description = "Repeat the query at this interval until stopped.")
    double watchSeconds;

    @Option(names = "--all", description = "Also query all processes that the queried ones report.")
    boolean wholeFleet;

    @Option(
            names = "--only",
            description = "Query the given address alone, where by default one address is enough to query the fleet.")
    boolean onlyGiven;
}

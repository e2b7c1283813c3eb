package org.cypressweir.sidecar.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Commands, their exit status, and their output on standard output and standard error. */
class CommandLineToolTest {

    private static final String CONFIG = "{'name':'n','seed':'1','listen':'127.0.0.1:8443','discovery':"
            + "'127.0.0.1:1','settings':{'classes':[{'name':'search','effect':'pure','deadline_us':1500000},"
            + "{'name':'book','effect':'side_effect','deadline_us':3000000}],'zones':['a'],"
            + "'policy_limits':{'attempts_cap':6}}}";
    private static final String FILE = "version = 1\n[pools.p]\nsource = \"discovery\"\n"
            + "[routes.s]\nhost = \"api.example.org\"\npath = \"/search/*\"\nclass = \"search\"\n"
            + "pool = \"p\"\n"
            + "timeout = \"900ms\"\nheaders = { X-Tier = \"gold\" }\n";

    @TempDir
    Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private Path file;

    @BeforeEach
    void write() throws Exception {
        Files.writeString(folder.resolve("config.json"), CONFIG.replace('\'', '"'));
        file = folder.resolve("operators.toml");
        Files.writeString(file, FILE);
    }

    private int run(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--config", folder.resolve("config.json").toString()));
        return new CommandLine(new CommandLineTool())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true))
                .execute(all.toArray(String[]::new));
    }

    @Test
    void validFilePrintsNothing() {
        assertEquals(0, run("check", file.toString()));
        assertEquals("", out.toString() + err);
    }

    @Test
    void invalidFilePrintsAllReasons() throws Exception {
        Files.writeString(file, FILE + "attempts = 7\nhegdes = 1\n");
        assertEquals(2, run("check", file.toString()));
        assertEquals(
                file + ":11: 'attempts' is 7; the settings allow 6\n" + file
                        + ":12: unknown key 'hegdes' in [routes.s]; did you mean 'hedges'?\n",
                err.toString());
        assertEquals("", out.toString());
    }

    @Test
    void explainListsAll() {
        assertEquals(0, run("explain", file.toString()));
        assertTrue(out.toString().contains("listener LB_LISTEN: 127.0.0.1:8443"), out.toString());
        assertTrue(out.toString().contains("pool p: servers from discovery"), out.toString());
        assertTrue(out.toString().contains("[routes.s], line 9"), out.toString());
    }

    @Test
    void explainsOneRequest() {
        assertEquals(
                0,
                run(
                        "explain",
                        file.toString(),
                        "--request",
                        "GET http://API.example.org/search/%41",
                        "-H",
                        "X-Tier: gold"));
        assertTrue(out.toString().contains("takes route 's'"), out.toString());
        assertEquals(0, run("explain", file.toString(), "--request", "GET /search/1", "-H", "Host: b"));
        assertTrue(out.toString().contains("no route matches: 404"), out.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "GET | Host: a | --request takes a method and a target",
                "GET /a%2Fb | Host: a | the request would be answered 400: the path has an escaped slash",
                "GET /a | Host | -H takes a name and a value",
            })
    void invalidRequestIsRejected(String request, String header, String reason) {
        assertEquals(2, run("explain", file.toString(), "--request", request, "-H", header));
        assertTrue(err.toString().contains(reason), err.toString());
    }

    @Test
    void missingConfigurationPrintsOneLine() throws Exception {
        Files.delete(folder.resolve("config.json"));
        assertEquals(2, run("check", file.toString()));
        assertEquals(1, err.toString().lines().count(), err.toString());
    }

    /** Runs the check as described in the first lines of the example. */
    @ParameterizedTest
    @CsvSource({"deploy/operators.example.toml, true", "deploy/operators.example.toml, false"})
    void exampleFileIsValid(String example, boolean assumed) {
        var line = new CommandLine(new CommandLineTool())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(err, true));
        assertEquals(
                0,
                assumed
                        ? line.execute("check", example)
                        : line.execute("check", example, "--config", "deploy/operators.example.json"));
        assertEquals(assumed ? 1 : 0, err.toString().lines().count(), err.toString());
        assertEquals(assumed, err.toString().contains("without settings"));
    }

    /** Checks that need no settings still run. */
    @Test
    void invalidFileIsRejectedWithoutSettings() throws Exception {
        Files.writeString(file, FILE + "hegdes = 1\n");
        assertEquals(
                2,
                new CommandLine(new CommandLineTool())
                        .setErr(new PrintWriter(err, true))
                        .execute("check", file.toString()));
        assertTrue(err.toString().contains(":11: unknown key 'hegdes' in [routes.s]"), err.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "serve",
                "check",
                "explain",
                "lab",
                "lab cells",
                "lab quiet",
                "plugin",
                "plugin check",
                "plugin run"
            })
    void everyCommandHasHelpAndVersion(String command) {
        for (String option : List.of("--help", "--version")) {
            List<String> words = new ArrayList<>(command.isEmpty() ? List.of() : List.of(command.split(" ")));
            words.add(option);
            StringWriter output = new StringWriter();
            assertEquals(
                    0,
                    new CommandLine(new CommandLineTool())
                            .setOut(new PrintWriter(output, true))
                            .setErr(new PrintWriter(err, true))
                            .execute(words.toArray(String[]::new)));
            assertTrue(
                    output.toString()
                            .contains(option.equals("--help") ? "Usage: cypressweir-sidecar" : "cypressweir-sidecar ("),
                    output.toString());
        }
        assertEquals("", err.toString());
    }

    @Test
    void misspelledOptionSuggestsTheRightOne() {
        assertEquals(2, run("check", file.toString(), "--confg", "x"));
        assertTrue(err.toString().contains("--config"), err.toString());
    }

    @Test
    void unknownCommandExitsWithTwo() {
        assertEquals(2, run("chekc", file.toString()));
    }
}

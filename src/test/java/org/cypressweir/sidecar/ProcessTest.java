package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.ReloadSignal;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as a separate process. */
@Timeout(60)
class ProcessTest {

    @TempDir
    Path folder;

    private static ProcessBuilder program(Path config, String listen, String... more) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder = new ProcessBuilder(
                java,
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.cypressweir.sidecar.Main",
                "serve");
        builder.command().addAll(List.of(more));
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("LB_LISTEN", listen);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        return builder;
    }

    /** Connects once the program reports that it is ready. */
    private static Harness.Client connect(InetSocketAddress address, Process process) throws Exception {
        while (true) {
            try {
                Harness.Client client = new Harness.Client(address);
                if (client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
                                .answer()
                                .status()
                        == 200) {
                    return client;
                }
                client.close();
            } catch (IOException | AssertionError e) {
                // Not listening yet, or closed at the end of the warm-up.
            }
            assertTrue(process.isAlive(), "the program ended");
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void terminationCompletesRequestsInFlightAndExitsWithZero() throws Exception {
        InetSocketAddress address = freeAddress();
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            Process process =
                    program(harness.file, "127.0.0.1:" + address.getPort()).start();
            try (Harness.Client client = connect(address, process)) {
                client.book("x", 20_000);
                PeerStub.ReceivedRequest pending = server.take();
                process.destroy();
                assertTrue(!process.waitFor(600, TimeUnit.MILLISECONDS), "ended with a request in flight");
                pending.reply("200 OK", "", "done");
                assertEquals("done", client.answer().body());
                client.assertClosed();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** No class of a disabled feature is loaded, neither at startup nor by a request. */
    @Test
    void classesOfDisabledFeaturesAreNotLoaded() throws Exception {
        InetSocketAddress address = freeAddress();
        Path loaded = folder.resolve("loaded.txt");
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, server)) {
            ProcessBuilder program = program(harness.file, "127.0.0.1:" + address.getPort());
            program.command().add(1, "-Xlog:class+load:file=" + loaded);
            Process process = program.start();
            try (Harness.Client client = connect(address, process)) {
                assertEquals(200, client.search(2_000).answer().status());
                assertEquals(200, client.book("x", 2_000).answer().status());
                process.destroy();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
        List<String> own = Files.readAllLines(loaded).stream()
                .filter(l -> l.contains(" org.cypressweir."))
                .toList();
        assertTrue(
                own.stream().anyMatch(l -> l.contains("org.cypressweir.loadbalancing.SubsetLoadBalancer ")),
                "the class loading log has another format");
        for (String disabled : List.of(
                "sidecar.cell",
                "sidecar.fleetlimits",
                "sidecar.plugin",
                "simulation",
                "sidecar.cli",
                "sidecar.operatorconfig",
                "sidecar.route",
                "sidecar.websocket",
                "fleet.membership",
                "fleet.transport",
                "fleet.lease")) {
            String name = "org.cypressweir." + disabled;
            assertTrue(Files.isDirectory(Path.of("src/main/java", name.split("\\."))), name);
            assertEquals(
                    List.of(),
                    own.stream()
                            .filter(l -> l.contains(" " + name + "."))
                            .map(l -> l.replaceAll("^\\S*\\s*", ""))
                            .toList());
        }
    }

    /** The time by which this many successive reloads have succeeded or timed out. */
    private static long reloadDeadline(int signals) {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(signals * ConfigurationReloader.RELOAD_SECONDS);
    }

    private static void assertRunningBefore(Process process, long end, String missing) {
        assertTrue(process.isAlive(), "the program ended");
        assertTrue(
                System.nanoTime() < end,
                () -> missing + " was not applied after SIGHUP"
                        + (ReloadSignal.isIgnored() ? ", which is ignored here and by what is started here" : ""));
    }

    private static void sendHangup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid())
                        .start()
                        .waitFor());
    }

    /**
     * On SIGHUP the discovery address of the file takes precedence over the environment's, and an invalid file changes
     * nothing.
     */
    @Test
    void hangupSwitchesToTheNewDiscoveryAddress() throws Exception {
        InetSocketAddress address = freeAddress();
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                PeerStub next = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            ProcessBuilder program = program(harness.file, "127.0.0.1:" + address.getPort());
            program.environment().put("LB_DISCOVERY", "127.0.0.1:" + harness.discovery.port());
            Process process = program.start();
            try (Harness.Client client = connect(address, process)) {
                harness.discovery.take();
                String text = Files.readString(harness.file);
                Files.writeString(harness.file, text.substring(0, text.length() / 2));
                sendHangup(process);
                assertEquals(200, client.search(2_000).answer().status());
                Files.writeString(harness.file, text.replace(":" + harness.discovery.port(), ":" + next.port()));
                sendHangup(process);
                PeerStub.ReceivedRequest asked = next.take();
                assertEquals("GET /v1/servers HTTP/1.1", asked.request().firstLine());
                harness.discovery.awaitEnd();
                // The old list stays in force until the new discovery has responded.
                assertEquals(200, client.search(2_000).answer().status());
                asked.reply("200 OK", "", Harness.json(Harness.list(7, true, "terminating", server)));
                assertTrue(next.take().request().firstLine().contains("from=7&"));
                assertEquals(503, client.search(2_000).answer().status());
                Files.writeString(harness.file, text);
                sendHangup(process);
                assertEquals(
                        "GET /v1/servers HTTP/1.1",
                        harness.discovery.take().request().firstLine());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * If the process starts with SIGHUP ignored, as under {@code nohup}, the runtime never receives the signal, and
     * classes added by a reload would be rejected with 400 forever. The sidecar logs this; a start through {@code env}
     * restores the signal.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ignoredHangupIsRestoredOrLogged(boolean restored) throws Exception {
        InetSocketAddress address = freeAddress();
        Path log = folder.resolve("log");
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, server)) {
            ProcessBuilder program = program(harness.file, "127.0.0.1:" + address.getPort());
            program.redirectOutput(log.toFile());
            program.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            if (restored) {
                program.command().addAll(4, List.of("env", "--default-signal=HUP"));
            }
            Process process = program.start();
            try (Harness.Client client = connect(address, process)) {
                assertEquals(!restored, Files.readString(log).contains("SIGHUP is ignored"));
                Files.writeString(harness.file, Files.readString(harness.file).replace("search", "look"));
                sendHangup(process);
                if (restored) {
                    Harness.Client asking = client;
                    long end = reloadDeadline(1);
                    while (asking.raw(Harness.Client.head("GET", "/look/k1", 2_000, "", 0))
                                    .answer()
                                    .status()
                            != 200) {
                        assertRunningBefore(process, end, "the settings' new class");
                        asking = new Harness.Client(address);
                    }
                } else {
                    assertEquals(200, client.search(2_000).answer().status());
                }
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket freeAddress = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", freeAddress.getLocalPort());
        }
    }

    /** With an operators' file: SIGHUP applies a new one, and an invalid one changes nothing. */
    @Test
    void hangupReloadsTheOperatorsFile() throws Exception {
        InetSocketAddress address = freeAddress();
        try (PeerStub one = new PeerStub(PeerStub.serves("one"));
                PeerStub two = new PeerStub(PeerStub.serves("two"));
                Harness harness = new Harness(folder)) {
            Path file = folder.resolve("operators.toml");
            Files.writeString(file, operators(one, ""));
            Process process = program(harness.file, "127.0.0.1:" + address.getPort(), "--operators", file.toString())
                    .start();
            try (Harness.Client client = connect(address, process)) {
                assertEquals("one", client.search(2_000).answer().body());
                Files.writeString(file, operators(two, "attempts = 99\n"));
                sendHangup(process);
                assertEquals("one", client.search(2_000).answer().body());
                Files.writeString(file, operators(two, ""));
                sendHangup(process);
                long end = reloadDeadline(2);
                for (String body = ""; !body.equals("two"); ) {
                    body = client.search(2_000).answer().body();
                    assertRunningBefore(process, end, "the operators' file with the second server");
                }
                process.destroy();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static String operators(PeerStub server, String more) {
        return "version = 1\n[pools.p]\nsource = \"static\"\nservers = [{ id = \"a\", endpoint = \"127.0.0.1:"
                + server.port() + "\" }]\n[routes.search]\npath = \"/search/*\"\nclass = \"search\"\n"
                + "pool = \"p\"\n" + more;
    }

    @Test
    void invalidOperatorsFilePreventsStartup() throws Exception {
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            Path file = folder.resolve("operators.toml");
            Files.writeString(file, operators(server, "attempts = 99\nhegdes = 1\n"));
            ByteArrayOutputStream errors = new ByteArrayOutputStream();
            assertEquals(
                    2,
                    SidecarProcess.serve(
                            Map.of("LB_CONFIG", harness.file.toString()), file, new PrintStream(errors, true), null));
            assertEquals(
                    file + ":9: 'attempts' is 99; the settings allow 4\n" + file
                            + ":10: unknown key 'hegdes' in [routes.search]; did you mean 'hedges'?\n",
                    errors.toString(StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | not a JSON object",
                "[] | not a JSON object",
                "{'a': | not JSON",
                "{'seed':'1'} | 'settings' is missing",
                "{'name':'n','seed':'1','listen':'localhost:80','settings':{}} | not an address",
                "{'name':'n','seed':'x','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','settings':{}} | 'seed'",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','settings':{}} | classes",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','limits':{'sockets':9},"
                        + "'settings':{}} | 'sockets'",
                "{'name':'n','seed':'1','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','known':{'rev':1},"
                        + "'settings':{}} | a list without",
            })
    void invalidConfigurationIsReportedInOneLine(String text, String message) throws Exception {
        Path file = folder.resolve("bad.json");
        Files.writeString(file, Harness.json(text.equals("''") ? "" : text));
        assertOneLine(Map.of("LB_CONFIG", file.toString()), message);
    }

    @Test
    void missingConfigurationIsReportedInOneLine() {
        assertOneLine(Map.of(), "LB_CONFIG");
        assertOneLine(Map.of("LB_CONFIG", folder.resolve("none").toString()), "none");
    }

    private static void assertOneLine(Map<String, String> environment, String message) {
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        assertEquals(2, SidecarProcess.serve(environment, new PrintStream(errors, true)));
        String text = errors.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.contains(message), text);
    }
}

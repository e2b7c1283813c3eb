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

/** The program as the platform runs it. */
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

    /** A client begins to send once the program says that it is ready. */
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
                // Not listening yet, or closed with the rehearsal.
            }
            assertTrue(process.isAlive(), "the program ended");
            process.waitFor(20, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void terminationAnswersWhatIsInHandAndExitsWithZero() throws Exception {
        InetSocketAddress address = free();
        try (PeerStub server = new PeerStub(PeerStub.SILENT);
                Harness harness = new Harness(folder, server)) {
            Process process =
                    program(harness.file, "127.0.0.1:" + address.getPort()).start();
            try (Harness.Client client = connect(address, process)) {
                client.book("x", 20_000);
                PeerStub.Seen held = server.take();
                process.destroy();
                assertTrue(!process.waitFor(600, TimeUnit.MILLISECONDS), "ended with a request in hand");
                held.reply("200 OK", "", "done");
                assertEquals("done", client.answer().body());
                client.assertClosed();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** What is off costs nothing: no class of it is loaded, neither at the start nor by a request. */
    @Test
    void whatIsOffIsNotLoaded() throws Exception {
        InetSocketAddress address = free();
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
                "the log is not what it was");
        for (String off : List.of(
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
            String name = "org.cypressweir." + off;
            assertTrue(Files.isDirectory(Path.of("src/main/java", name.split("\\."))), name);
            assertEquals(
                    List.of(),
                    own.stream()
                            .filter(l -> l.contains(" " + name + "."))
                            .map(l -> l.replaceAll("^\\S*\\s*", ""))
                            .toList());
        }
    }

    /** By when so many signals, one after the other, are taken over or given up by the program itself. */
    private static long untilReloaded(int signals) {
        return System.nanoTime() + TimeUnit.SECONDS.toNanos(signals * ConfigurationReloader.RELOAD_SECONDS);
    }

    private static void assertGoesOn(Process process, long end, String missing) {
        assertTrue(process.isAlive(), "the program ended");
        assertTrue(
                System.nanoTime() < end,
                () -> missing + " was not taken over after SIGHUP"
                        + (ReloadSignal.isIgnored() ? ", which is ignored here and by what is started here" : ""));
    }

    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("sh", "-c", "kill -HUP " + process.pid())
                        .start()
                        .waitFor());
    }

    /** SIGHUP: the file's discovery goes before the environment's, and a wrong file changes nothing. */
    @Test
    void hangupGoesOverToTheNewDiscovery() throws Exception {
        InetSocketAddress address = free();
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
                hangUp(process);
                assertEquals(200, client.search(2_000).answer().status());
                Files.writeString(harness.file, text.replace(":" + harness.discovery.port(), ":" + next.port()));
                hangUp(process);
                PeerStub.Seen asked = next.take();
                assertEquals("GET /v1/servers HTTP/1.1", asked.request().first());
                harness.discovery.awaitEnd();
                // Until the new one has spoken the old list holds.
                assertEquals(200, client.search(2_000).answer().status());
                asked.reply("200 OK", "", Harness.json(Harness.list(7, true, "terminating", server)));
                assertTrue(next.take().request().first().contains("from=7&"));
                assertEquals(503, client.search(2_000).answer().status());
                // And back again.
                Files.writeString(harness.file, text);
                hangUp(process);
                assertEquals(
                        "GET /v1/servers HTTP/1.1",
                        harness.discovery.take().request().first());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Started with SIGHUP ignored, as {@code nohup} does, the runtime never hears of one: classes that came
     * with it would be 400 for good. That is told; a start by way of env takes the signal back.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anIgnoredHangupIsTakenBackOrTold(boolean takenBack) throws Exception {
        InetSocketAddress address = free();
        Path log = folder.resolve("log");
        try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                Harness harness = new Harness(folder, server)) {
            ProcessBuilder program = program(harness.file, "127.0.0.1:" + address.getPort());
            program.redirectOutput(log.toFile());
            program.command().addAll(0, List.of("sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
            if (takenBack) {
                program.command().addAll(4, List.of("env", "--default-signal=HUP"));
            }
            Process process = program.start();
            try (Harness.Client client = connect(address, process)) {
                assertEquals(!takenBack, Files.readString(log).contains("SIGHUP is ignored"));
                Files.writeString(harness.file, Files.readString(harness.file).replace("search", "look"));
                hangUp(process);
                if (takenBack) {
                    Harness.Client asking = client;
                    long end = untilReloaded(1);
                    while (asking.raw(Harness.Client.head("GET", "/look/k1", 2_000, "", 0))
                                    .answer()
                                    .status()
                            != 200) {
                        assertGoesOn(process, end, "the settings' new class");
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

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
    }

    /** The program with an operators' file: SIGHUP takes a new one over, a bad one changes nothing. */
    @Test
    void hangupTakesOverTheOperatorsFile() throws Exception {
        InetSocketAddress address = free();
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
                hangUp(process);
                assertEquals("one", client.search(2_000).answer().body());
                Files.writeString(file, operators(two, ""));
                hangUp(process);
                long end = untilReloaded(2);
                for (String body = ""; !body.equals("two"); ) {
                    body = client.search(2_000).answer().body();
                    assertGoesOn(process, end, "the operators' file with the second server");
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
    void aBadOperatorsFileEndsTheStart() throws Exception {
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
    void badConfigurationIsOnePlainLine(String text, String message) throws Exception {
        Path file = folder.resolve("bad.json");
        Files.writeString(file, Harness.json(text.equals("''") ? "" : text));
        assertOneLine(Map.of("LB_CONFIG", file.toString()), message);
    }

    @Test
    void missingConfigurationIsOnePlainLine() {
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

package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.diagnostics.ItemListing;
import org.cypressweir.common.diagnostics.StateEndpoint;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.meshctl.command.AnsiStyle;
import org.jline.terminal.Terminal;
import org.jline.terminal.impl.ExternalTerminal;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs queries against the state call over sockets and checks the tables that they print. */
class QueryCommandTest {

    private static final String SECRET = "key-that-must-stay-secret";
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static String address;
    private static String otherAddress;
    private static ServerSocket unresponsive;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @BeforeAll
    static void listen() throws IOException {
        HttpListener listener = HttpListener.open(
                GROUP,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> new RequestLimits(16_384, 65_536, 5_000, 60_000),
                new MonotonicClock(),
                new StateEndpoint(call -> call.answer(ServerResponse.of(418)), QueryCommandTest::state));
        address = Addresses.text(listener.address());
        otherAddress = Addresses.text(HttpListener.open(
                        GROUP,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> new RequestLimits(16_384, 65_536, 5_000, 60_000),
                        new MonotonicClock(),
                        new StateEndpoint(call -> call.answer(ServerResponse.of(418)), QueryCommandTest::otherState))
                .address());
        unresponsive = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    }

    @AfterAll
    static void end() throws IOException {
        unresponsive.close();
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static Map<String, Object> otherState(boolean items) {
        Map<String, Object> state = state(false);
        state.putAll(JsonCodec.map(
                "name",
                "h2",
                "control",
                "",
                "stamp",
                "2@h1",
                "crew",
                List.of("b", "a"),
                "berths",
                List.of(JsonCodec.map("name", "p2", "server", "s2", "service", "s", "slots", 8))));
        return state;
    }

    private static Map<String, Object> state(boolean items) {
        Map<String, Object> state = JsonCodec.map(
                "kind",
                "harbour",
                "name",
                "h1",
                "stamp",
                "3@h1",
                "open",
                true,
                "crew",
                List.of("a", "b"),
                "tallies",
                Map.of("t", 2.5),
                "berths",
                List.of(
                        JsonCodec.map("name", "p2", "server", "s2", "slots", 4),
                        JsonCodec.map("name", "p1", "slots", 12)));
        if (items) {
            state.put("list", ItemListing.of(configuration()));
        }
        return state;
    }

    private static Configuration configuration() {
        String route = "{\"hostname\":\"Shop\",\"pathPrefix\":\"%s\",\"routeType\":\"idempotent\","
                + "\"timeout\":\"1s\",\"targetLatency\":\"50ms\",\"priority\":1,\"service\":\"s\","
                + "\"maxAttempts\":2,\"configVersion\":\"r7\"}";
        String change = "{\"upsert\":{\"routeTable\":{\"all\":" + route.formatted("/") + ",\"cart\":"
                + route.formatted("/cart/") + "},\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + SECRET
                + "\"],\"configVersion\":\"r1\"}}}}";
        return Configuration.of(ConfigurationChange.read(change.getBytes(StandardCharsets.UTF_8))
                .get()
                .items());
    }

    /** Runs a query with a time-out that is long enough for a busy machine. */
    private int query(String... args) {
        List<String> all = new ArrayList<>(List.of(args));
        all.addAll(List.of("--timeout", "30000"));
        return run(all.toArray(String[]::new));
    }

    private int run(String... args) {
        return MeshCtl.run(new PrintWriter(out, true), new PrintWriter(err, true), args);
    }

    @Test
    void fleetIsPrintedAsATable() {
        assertThat(query("fleet", "--at", address, "--columns", "proxy,server,slots", "--sort", "slots"))
                .isZero();
        assertThat(out.toString().lines())
                .containsExactly("proxy  server  slots", "p2     s2          4", "p1                12");
        assertThat(err.toString()).isEmpty();
    }

    @Test
    void longestPrefixMatchesAndKeysAreNotShown() {
        assertThat(query("route", "shop", "/cart/7?x", "--at", address, "--json"))
                .isZero();
        assertThat(out.toString()).contains("\"route\":\"cart\"", "\"destination\":\"s\"", "\"silent\":[]");
        assertThat(query("route", "other", "/", "--at", address)).isEqualTo(4);
        assertThat(query("items", "--at", address, "--where", "table=tenantTable"))
                .isZero();
        assertThat(out.toString()).contains("r1").doesNotContain(SECRET);
    }

    @Test
    void columnsShowTheFieldsOfTheState() {
        assertThat(query("replicas", "--at", address, "--only", "--columns", "kind,proposal,storeOpen,voters"))
                .isZero();
        assertThat(query("quotas", "--at", address, "--only", "--columns", "kind,tenant,demand"))
                .isZero();
        assertThat(out.toString().lines().map(line -> line.replaceAll(" {2,}", "|")))
                .containsExactly(
                        "kind|proposal|storeOpen|voters",
                        "controller|3@h1|true|a,b",
                        "kind|tenant|demand",
                        "controller|t|2.5");
    }

    @Test
    void diffShowsTheFactsThatDiffer() {
        assertThat(query("diff", address, otherAddress)).isEqualTo(5);
        assertThat(out.toString().lines().map(line -> line.replaceAll(" {2,}", "|")))
                .containsExactly(
                        "fact|a|b",
                        "item routeTable.all|r7",
                        "item routeTable.cart|r7",
                        "item tenantTable.t|r1",
                        "proposal|3@h1|2@h1",
                        "proxy p1",
                        "server s2|at p2, 4 slots|s at p2, 8 slots");
        assertThat(query("diff", address, address)).isZero();
    }

    @Test
    void shellRunsTheLinesOfAFile() throws IOException {
        Shell shell = new Shell(List.of());
        assertThat(shell.run(
                        new BufferedReader(new StringReader("# addresses\nat " + address + "\n\nat\n"
                                + "fleet --columns \"proxy,slots\" --timeout 30000\nroute other / --timeout 30000\n"
                                + "at here\nproxy\nquit\nat")),
                        new PrintWriter(out, true),
                        new PrintWriter(err, true)))
                .isEqualTo(4);
        assertThat(out.toString()).startsWith(address).contains("p2         4").endsWith("-\n");
        assertThat(err.toString().lines()).hasSize(2);
    }

    @Test
    void terminalCompletesLinesAndKeepsTheirHistory(@TempDir Path folder) throws IOException {
        Path history = folder.resolve("history");
        String typed = "rej\t--he\t\rfleet --at " + address + " --timeout 30000 --columns sl\t\rexit\r";
        ByteArrayOutputStream shown = new ByteArrayOutputStream();
        try (Terminal terminal = new ExternalTerminal(
                "test",
                "xterm",
                new ByteArrayInputStream(typed.getBytes(StandardCharsets.UTF_8)),
                shown,
                StandardCharsets.UTF_8)) {
            InteractiveTerminal.run(new Shell(List.of()), terminal, history, new AnsiStyle(true));
        }
        assertThat(shown.toString(StandardCharsets.UTF_8))
                .contains("responses generated by the mesh", "\u001b[1mslots\u001b[0m");
        assertThat(Files.readString(history)).contains("rejections --help", "--columns slots", "exit");
    }

    @Test
    void processesWithoutAResponseAreNamed() throws IOException {
        ServerSocket closed = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        String closedAddress = Addresses.text((InetSocketAddress) closed.getLocalSocketAddress());
        closed.close();
        assertThat(query("replicas", "--at", address, "--at", closedAddress)).isEqualTo(3);
        assertThat(out.toString()).contains("3@h1");
        String unresponsiveAddress = Addresses.text((InetSocketAddress) unresponsive.getLocalSocketAddress());
        assertThat(run("quotas", "--at", unresponsiveAddress, "--timeout", "100"))
                .isEqualTo(1);
        assertThat(err.toString().lines())
                .containsExactly(
                        "cypressweir: " + closedAddress + ": cannot connect",
                        "cypressweir: " + unresponsiveAddress + ": no response within 100 ms");
    }

    @Test
    void usageErrorIsOneLine() {
        assertThat(run("fleet", "--at", address, "--sort", "colour")).isEqualTo(2);
        assertThat(run("fleet", "--at", "here")).isEqualTo(2);
        assertThat(run("replicas", "--at", address, "--where", "name")).isEqualTo(2);
        assertThat(run("sail")).isEqualTo(2);
        assertThat(run()).isEqualTo(2);
        assertThat(err.toString().lines()).hasSize(5).allMatch(line -> line.startsWith("cypressweir: "));
        assertThat(run("--help")).isZero();
        assertThat(run("--version")).isZero();
    }
}

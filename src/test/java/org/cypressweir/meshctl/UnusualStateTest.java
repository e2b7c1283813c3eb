package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.transport.MonotonicClock;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.dataplane.http.server.HttpListener;
import org.cypressweir.dataplane.http.server.RequestLimits;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What each query prints for processes of another build, whose fields are missing, null, of another type or unknown.
 * The responses and the expected output are files under {@code resources/meshctl}.
 */
class UnusualStateTest {

    private static final String FOLDER = "/meshctl/unusual-state/";
    private static final MultiThreadIoEventLoopGroup GROUP =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static String controller;
    private static String proxy;
    private static String secondProxy;

    @BeforeAll
    static void listen() throws IOException {
        controller = listen("controller.json");
        proxy = listen("proxy.json");
        secondProxy = listen("second-proxy.json");
    }

    /** Starts a listener that responds to each call with the same file. */
    private static String listen(String file) throws IOException {
        byte[] body = read(file).getBytes(StandardCharsets.UTF_8);
        return Addresses.text(HttpListener.open(
                        GROUP,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        () -> new RequestLimits(16_384, 65_536, 5_000, 60_000),
                        new MonotonicClock(),
                        request -> request.answer(ServerResponse.json(200, body)))
                .address());
    }

    @AfterAll
    static void end() {
        GROUP.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static String read(String name) throws IOException {
        try (InputStream file = UnusualStateTest.class.getResourceAsStream(FOLDER + name)) {
            assertThat(file).as(name).isNotNull();
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** The output and the exit status, with names in place of the addresses and gaps between columns as {@code |}. */
    private static String run(List<String> command, String... options) {
        List<String> all = new ArrayList<>(command);
        all.addAll(List.of(options));
        all.addAll(List.of("--timeout", "30000"));
        StringWriter out = new StringWriter();
        int status = MeshCtl.run(new PrintWriter(out, true), new PrintWriter(out, true), all.toArray(String[]::new));
        return (out + "exit status " + status + "\n")
                .replace(controller, "CONTROLLER")
                .replace(secondProxy, "SECOND")
                .replace(proxy, "PROXY")
                .replaceAll(" {2,}", "|");
    }

    private static String runAllFormats(String... words) {
        List<String> command = List.of(words);
        return run(command) + run(command, "--json");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "state",
                "fleet",
                "items",
                "replicas",
                "replicas --all",
                "connectivity",
                "quotas",
                "rejections",
                "config-status",
                "why 1",
                "route shop /cart/",
                "route other /"
            })
    void outputMatchesTheExpectedFile(String query) throws IOException {
        List<String> command = new ArrayList<>(List.of(query.split(" ")));
        command.addAll(List.of("--only", "--at", controller, "--at", proxy, "--at", secondProxy));
        assertThat(runAllFormats(command.toArray(String[]::new)))
                .isEqualTo(read(query.replaceAll("[ /]+", "-") + ".txt"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"controller proxy", "proxy second", "second proxy", "controller second"})
    void differencesMatchTheExpectedFile(String pair) throws IOException {
        String[] names = pair.split(" ");
        assertThat(runAllFormats("diff", address(names[0]), address(names[1])))
                .isEqualTo(read("diff-" + names[0] + "-" + names[1] + ".txt"));
    }

    private static String address(String name) {
        return switch (name) {
            case "controller" -> controller;
            case "proxy" -> proxy;
            default -> secondProxy;
        };
    }
}

package org.cypressweir.meshctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckCommandTest {

    private static final String VALID =
            """
            {"localNode": {"nodeName": "p1", "ipAddress": "127.0.2.1", "zone": "a"},
             "network": {"internalPortRange": [7400, 7409], "zones": {"a": "r"},
              "listenAddresses": {"controlPlane": "127.0.2.1:7500"}, "seedNodes": ["127.0.1.1:7400"]}}
            """;
    private static final String ROUTE =
            """
            {"hostname": "%s", "pathPrefix": "/", "routeType": "idempotent", "timeout": "%s",
             "targetLatency": "50ms", "priority": 1, "service": "%s", "maxAttempts": 2, "configVersion": "r1"}
            """;
    private static final String SERVICE =
            """
            {"healthPath": "/", "maxConnections": 8, "configVersion": "r1"}""";

    @TempDir
    Path folder;

    private Path file;
    private int status;

    private List<String> check(String kind, String text, String... furtherArgs) throws IOException {
        file = folder.resolve("file.json");
        Files.writeString(file, text);
        String[] args = new String[furtherArgs.length + 3];
        args[0] = "check";
        args[1] = kind;
        args[2] = file.toString();
        System.arraycopy(furtherArgs, 0, args, 3, furtherArgs.length);
        StringWriter out = new StringWriter();
        status = MeshCtl.run(new PrintWriter(out), new PrintWriter(out), args);
        return out.toString().lines().map(line -> line.replace(file + ": ", "")).toList();
    }

    @Test
    void everyErrorOfSettingsIsReported() throws IOException {
        assertThat(check("settings", VALID)).isEmpty();
        assertThat(status).isZero();
        assertThat(check("settings", VALID, "--for", "controller"))
                .containsExactly("localNode.dataDirectory: is missing; a controller requires it");
        assertThat(check("settings", VALID, "--for", "harbour"))
                .containsExactly("localNode.dataDirectory: is missing; a controller requires it");
        assertThat(check("settings", VALID, "--for", "pilot"))
                .containsExactly(
                        "localNode.application: is missing; a proxy requires it",
                        "network.listenAddresses.outbound: is missing; a proxy requires it",
                        "network.listenAddresses.readiness: is missing; a proxy requires it");
        assertThat(check("settings", VALID, "--for", "sidecar"))
                .singleElement()
                .asString()
                .contains("expected proxy or controller, but was 'sidecar'");
        assertThat(status).isEqualTo(2);
        assertThat(check("settings", "{\"localNode\": {\"zone\": 3}}"))
                .contains(
                        "network.internalPortRange: must be two ports",
                        "localNode.nodeName: is missing",
                        "localNode.zone: must be a string");
        assertThat(check("settings", VALID.replace(":7500", "").replace("\"zone\": \"a\"", "\"zone\": \"b\"")))
                .containsExactly(
                        "network.listenAddresses.controlPlane: '127.0.2.1' is not an address and a " + "port",
                        "localNode.zone: b is not in network.zones");
        assertThat(status).isEqualTo(2);
        assertThat(check("settings", "{")).singleElement().asString().startsWith("the file: ");
    }

    @Test
    void everyErrorOfAChangeIsReported() throws IOException {
        String valid = "{\"upsert\": {\"routeTable\": {\"r\": " + ROUTE.formatted("h", "1s", "s")
                + "}, \"serviceTable\": {\"s\": " + SERVICE + "}}}";
        assertThat(check("config", valid)).isEmpty();
        assertThat(status).isZero();
        String invalid = "{\"upsert\": {\"routeTable\": {\"a\": " + ROUTE.formatted("h", "soon", "none")
                + ", \"b\": " + ROUTE.formatted("same", "1s", "s").replace("\"r1\"", "1")
                + ", \"c\": " + ROUTE.formatted("same", "1s", "s")
                + "}, \"serviceTable\": {\"s\": " + SERVICE.replace("8", "0").replace("\"/\"", "\"x\"")
                + "}}, \"withdraw\": {\"tenantTable\": [{}]}}";
        assertThat(check("config", invalid))
                .containsExactlyInAnyOrder(
                        "routeTable.b.configVersion: must be a string",
                        "withdraw.tenantTable[0].name: is missing",
                        "routeTable.a.timeout: must be a duration such as 1500ms or 2.5s",
                        "routeTable.a: names service none, which is unknown",
                        "serviceTable.s.healthPath: must begin with a slash",
                        "serviceTable.s.maxConnections: must be from 1 to 2147483647",
                        "routeTable.c: has the same hostname and pathPrefix as routeTable.b: same/");
        assertThat(status).isEqualTo(2);
    }

    @Test
    void changeMayReferToTheBaseConfiguration() throws IOException {
        Path base = folder.resolve("base.json");
        Files.writeString(base, "{\"serviceTable\": {\"s\": " + SERVICE + "}, \"limits\": {}}");
        String change = "{\"upsert\": {\"routeTable\": {\"r\": " + ROUTE.formatted("h", "1s", "s") + "}}}";
        assertThat(check("config", change)).containsExactly("routeTable.r: names service s, which is unknown");
        assertThat(check("config", change, "--on", base.toString())).isEmpty();
    }

    @Test
    void unreadableFileHasAStatusOfItsOwn() throws IOException {
        check("config", "{}");
        Files.delete(file);
        assertThat(MeshCtl.run(
                        new PrintWriter(new StringWriter()),
                        new PrintWriter(new StringWriter()),
                        "check",
                        "config",
                        file.toString()))
                .isEqualTo(1);
    }
}

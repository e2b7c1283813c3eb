package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The connection limits that follow from the configured descriptor limit. */
class SidecarConfigurationTest {

    @TempDir
    Path folder;

    /** Clients may use a third of the descriptors for requests, each of which may need a server connection. */
    @ParameterizedTest
    @ValueSource(ints = {128, 256, 384, 1024})
    void aThirdOfTheDescriptorsIsAvailableOnBothSides(int sockets) throws Exception {
        try (Harness harness = new Harness(folder, 250_000, sockets)) {
            SidecarConfiguration config = harness.config();
            assertTrue(config.serverConnections() >= sockets / 3, "servers");
            assertTrue(config.clientConnections() >= sockets / 3, "clients");
            int open = config.settings().limits().maxOpen();
            assertTrue(open < sockets / 3, "some are left for the next request");
            assertTrue(open >= sockets * 0.32 - 1, "but a busy sidecar may serve nearly all");
            assertTrue(config.serverConnections() + config.clientConnections() + 16 <= sockets, "all");
        }
    }
}

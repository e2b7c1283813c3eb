package org.cypressweir.fleet.transport;

import java.nio.file.Path;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base of tests with sidecar processes and one server, all of which are stopped after each test. */
abstract class SidecarProcessTestCase {

    /** Time limit for a process to start and discover the others. */
    static final long START_TIMEOUT_MILLIS = 15_000;

    @TempDir
    Path folder;

    PeerStub server;
    SidecarProcesses processes;

    @BeforeEach
    void open() throws Exception {
        server = new PeerStub(PeerStub.serves("ok"));
    }

    @AfterEach
    void close() throws Exception {
        processes.close();
        server.close();
    }
}

package org.cypressweir.fleet.transport;

import java.nio.file.Path;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.SidecarProcesses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A folder, a server that answers and a processes of processes, which are ended with each test. */
abstract class SidecarProcessTestCase {

    /** Until a process has started and found the others. */
    static final long STARTED = 15_000;

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

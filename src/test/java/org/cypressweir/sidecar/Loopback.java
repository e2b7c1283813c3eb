package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** Base class of tests with real sockets: a folder, scripted servers, and the cleanup of everything they opened. */
abstract class Loopback {

    @TempDir
    Path folder;

    final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    PeerStub server(PeerStub.Script script) throws IOException {
        PeerStub stub = new PeerStub(script);
        open.add(stub);
        return stub;
    }
}

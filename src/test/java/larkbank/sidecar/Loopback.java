package larkbank.sidecar;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import larkbank.testkit.Stub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;

/** What tests between real sockets share: a folder, scripted servers, and an end to all that they opened. */
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

    Stub server(Stub.Script script) throws IOException {
        Stub stub = new Stub(script);
        open.add(stub);
        return stub;
    }
}

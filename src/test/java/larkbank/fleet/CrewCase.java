package larkbank.fleet;

import java.nio.file.Path;
import larkbank.testkit.Crew;
import larkbank.testkit.Stub;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** A folder, a server that answers and a crew of processes, which are ended with each test. */
abstract class CrewCase {

    /** Until a process has started and found the others. */
    static final long STARTED = 15_000;

    @TempDir
    Path folder;

    Stub server;
    Crew crew;

    @BeforeEach
    void open() throws Exception {
        server = new Stub(Stub.serves("ok"));
    }

    @AfterEach
    void close() throws Exception {
        crew.close();
        server.close();
    }
}

package larkbank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larkbank.testkit.Crew;
import larkbank.testkit.Stub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the program among each other, with faults between them. */
@Timeout(120)
class CrewTest {

    private static final long PAUSE = 1_000;
    /** Silence of a member that counts, and what a word takes to all: told in the program's own times. */
    private static final long KNOWN = 2 * PAUSE + 1_000;
    /** Until a process has started and found the others. */
    private static final long STARTED = 15_000;

    @TempDir
    Path folder;

    @Test
    void twoFindEachOtherAndOneThatLeavesIsGoneAtOnce() throws Exception {
        try (Stub server = new Stub(Stub.serves("ok")); Crew crew = new Crew(folder, 1, 2, PAUSE, server)) {
            crew.start(0);
            crew.start(1);
            crew.within(STARTED, "both see both", () -> crew.see(2, 0, 1));
            assertEquals("{n0=alive, n1=alive}", crew.members(0).get("members").toString());
            assertTrue(crew.relay.passed.get() > 0, "they spoke past the relay");
            crew.within(STARTED, "ready", () -> crew.ask(1, "READY").equals("YES\n"));
            crew.process(1).destroy();
            crew.within(PAUSE, "a word of leaving", () -> crew.see(1, 0));
            assertTrue(crew.process(1).waitFor(20, TimeUnit.SECONDS));
            assertEquals(0, crew.process(1).exitValue());
            List<String> seen = crew.history().stream().filter(e -> e.process().equals("n0")
                    && e.about().equals("n1")).map(Crew.Event::event).toList();
            assertEquals(List.of("joined", "left"), seen);
        }
    }
}

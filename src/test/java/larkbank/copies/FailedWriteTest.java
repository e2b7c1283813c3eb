package larkbank.copies;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import larkbank.hold.MemoryStore;
import larkbank.hold.Store;
import larkbank.testkit.ThreeCopies;
import org.junit.jupiter.api.Test;

/** A write that has failed and is on the disk nevertheless. */
class FailedWriteTest {

    private static final class Unsure implements Store {
        private final MemoryStore kept = new MemoryStore();
        private boolean fails;

        @Override
        public Optional<Standing> load() {
            return kept.load();
        }

        @Override
        public void write(Change change) throws IOException {
            kept.write(change);
            if (fails && change.accepted() != null) {
                fails = false;
                throw new IOException("said to have failed");
            }
        }

        @Override
        public void close() { }
    }

    @Test
    void leavesNoTraceOnceAnotherIsAgreed() {
        Unsure disk = new Unsure();
        ThreeCopies three = new ThreeCopies(List.of(disk, new MemoryStore(), new MemoryStore()));
        assertThat(three.submit(OneChangeTest.tenants(0, 1, 1))).isInstanceOf(Verdict.Taken.class);
        disk.fails = true;
        assertThat(three.submit(OneChangeTest.tenants(1, 2, 1))).isInstanceOf(Verdict.Unavailable.class);
        for (int i = 0; i < 20; i++) {
            three.tick();
        }
        assertThat(three.submit(OneChangeTest.tenants(2, 3, 1))).isInstanceOf(Verdict.Taken.class);
        Verdict.Read agreed = (Verdict.Read) three.submit(null);
        assertThat(disk.load().orElseThrow().items()).isEqualTo(agreed.manifest().items());
    }
}

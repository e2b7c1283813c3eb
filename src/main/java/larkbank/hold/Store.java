package larkbank.hold;

import java.io.IOException;
import java.util.Optional;
import larkbank.copies.Change;
import larkbank.copies.Standing;

/** Where a copy is kept. Used by one thread. After a write that failed the next may succeed. */
public interface Store extends AutoCloseable {

    /** What stands, or nothing where nothing was ever written. */
    Optional<Standing> load() throws IOException;

    /** Writes a change as a whole or not at all, and returns once it would outlast a loss of power. */
    void write(Change change) throws IOException;

    @Override
    void close() throws IOException;
}

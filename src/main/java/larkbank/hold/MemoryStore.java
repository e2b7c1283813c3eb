package larkbank.hold;

import java.util.Optional;
import larkbank.copies.Change;
import larkbank.copies.Standing;

/** Keeps nothing beyond this process. */
public final class MemoryStore implements Store {

    private Standing standing;

    @Override
    public Optional<Standing> load() {
        return Optional.ofNullable(standing);
    }

    @Override
    public void write(Change change) {
        standing = change.on(standing);
    }

    @Override
    public void close() {}
}

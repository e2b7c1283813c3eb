package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** All that is wrong with one file: reading goes on, so that operators hear of everything in one go. */
public final class Problems {

    /** Beyond so many a file is no file of this kind, and the first ones say enough. */
    static final int MOST = 200;

    private final String file;
    private final Set<Problem> found = new LinkedHashSet<>();

    public Problems(String file) {
        this.file = file;
    }

    /** Notes a problem; the same one at the same line counts once. */
    public void add(int line, String reason) {
        found.add(new Problem(file, line, reason));
    }

    public boolean none() {
        return found.isEmpty();
    }

    /** In the order of their lines. */
    public List<Problem> sorted() {
        List<Problem> sorted =
                found.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
        if (sorted.size() <= MOST) {
            return sorted;
        }
        List<Problem> first = new ArrayList<>(sorted.subList(0, MOST));
        first.add(new Problem(file, sorted.get(MOST).line(), "and " + (sorted.size() - MOST) + " more"));
        return first;
    }
}

package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** All that is wrong with one file: reading goes on, so that operators hear of everything in one go. */
public final class Problems {

    /** Beyond so many a file is no file of this kind, and the first ones say enough. */
    static final int MAX_REPORTED = 200;

    private final String file;
    private final Set<Problem> problems = new LinkedHashSet<>();

    public Problems(String file) {
        this.file = file;
    }

    /** Notes a problem; the same one at the same line counts once. */
    public void add(int line, String reason) {
        problems.add(new Problem(file, line, reason));
    }

    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** In the order of their lines. */
    public List<Problem> sorted() {
        List<Problem> sorted =
                problems.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
        if (sorted.size() <= MAX_REPORTED) {
            return sorted;
        }
        List<Problem> first = new ArrayList<>(sorted.subList(0, MAX_REPORTED));
        first.add(
                new Problem(file, sorted.get(MAX_REPORTED).line(), "and " + (sorted.size() - MAX_REPORTED) + " more"));
        return first;
    }
}

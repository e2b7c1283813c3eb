package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects the problems of one file. Reading continues after a problem, so that all are reported at once. */
public final class Problems {

    /** A file with more problems is probably not an operators' file at all; the first ones suffice to show that. */
    static final int MAX_REPORTED = 200;

    private final String file;
    private final Set<Problem> problems = new LinkedHashSet<>();

    public Problems(String file) {
        this.file = file;
    }

    /** Adds a problem; duplicates on the same line are recorded once. */
    public void add(int line, String reason) {
        problems.add(new Problem(file, line, reason));
    }

    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** The problems ordered by line, cut off after {@link #MAX_REPORTED} with a count of the rest. */
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

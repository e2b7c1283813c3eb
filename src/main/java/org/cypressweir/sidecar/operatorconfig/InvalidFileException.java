package org.cypressweir.sidecar.operatorconfig;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid operators' file. Holds all problems found; the message has one line for each. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    public InvalidFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = problems;
    }

    /** The problems, ordered by line; never empty. */
    public List<Problem> problems() {
        return problems;
    }
}

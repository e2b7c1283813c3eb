package org.cypressweir.sidecar.operatorconfig;

import java.util.List;
import java.util.stream.Collectors;

/** An operators' file that is refused, with all reasons; its message has a line for each. */
public final class InvalidFileException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    public InvalidFileException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = problems;
    }

    /** In the order of their lines; never empty. */
    public List<Problem> problems() {
        return problems;
    }
}

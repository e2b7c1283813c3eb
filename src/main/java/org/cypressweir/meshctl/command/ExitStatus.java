package org.cypressweir.meshctl.command;

/** Exit statuses of the command line. Scripts depend on the numbers. */
public final class ExitStatus {

    public static final int OK = 0;
    /** No process responded, or a file cannot be read. */
    public static final int FAILED = 1;
    /** Wrong usage, or an invalid file. */
    public static final int INVALID = 2;
    /** Some processes responded and some did not. */
    public static final int PARTIAL = 3;
    /** No such route, or no such request. */
    public static final int NOT_FOUND = 4;
    /** The compared processes differ, or a controller rejected the command. */
    public static final int DIFFERENT_OR_REJECTED = 5;

    private ExitStatus() {}
}

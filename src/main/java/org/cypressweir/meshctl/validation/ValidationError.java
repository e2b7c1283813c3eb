package org.cypressweir.meshctl.validation;

/**
 * One error of a file.
 *
 * @param location the path of the field or item, or {@link #WHOLE_FILE}
 */
public record ValidationError(String location, String reason) {

    static final String WHOLE_FILE = "the file";

    /** Splits a line that starts with a dotted path; any other line is about the whole file. */
    static ValidationError parse(String line) {
        int space = line.indexOf(' ');
        boolean startsWithPath = space > 0 && line.substring(0, space).indexOf('.') > 0 && !line.startsWith("\"");
        return startsWithPath
                ? new ValidationError(line.substring(0, space), line.substring(space + 1))
                : new ValidationError(WHOLE_FILE, line);
    }

    @Override
    public String toString() {
        return location + ": " + reason;
    }
}

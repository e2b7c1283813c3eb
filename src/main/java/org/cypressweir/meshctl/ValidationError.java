package org.cypressweir.meshctl;

/** One thing that is wrong with a file: where, and what. */
record ValidationError(String place, String reason) {

    static final String WHOLE = "the file";

    /** Of a line that begins with a place in dots; what has none is about the whole file. */
    static ValidationError of(String line) {
        int space = line.indexOf(' ');
        return space > 0 && line.substring(0, space).indexOf('.') > 0 && !line.startsWith("\"")
                ? new ValidationError(line.substring(0, space), line.substring(space + 1))
                : new ValidationError(WHOLE, line);
    }

    @Override
    public String toString() {
        return place + ": " + reason;
    }
}

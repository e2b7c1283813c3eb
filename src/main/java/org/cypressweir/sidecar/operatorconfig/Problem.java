package org.cypressweir.sidecar.operatorconfig;

/** One thing that is wrong with an operators' file, in the form {@code file:line: reason}. */
public record Problem(String file, int line, String reason) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + reason;
    }
}

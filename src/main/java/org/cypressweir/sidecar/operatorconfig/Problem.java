package org.cypressweir.sidecar.operatorconfig;

/** One problem in an operators' file, printed as {@code file:line: reason}. */
public record Problem(String file, int line, String reason) {
    @Override
    public String toString() {
        return file + ":" + line + ": " + reason;
    }
}

package org.cypressweir.sidecar.operatorconfig;

/**
 * A value and its origin.
 *
 * @param line the line of the file that sets it; 0 if the file does not
 * @param origin as printed for operators: section and line, or the source of the default
 */
public record Setting<T>(T value, int line, String origin) {

    boolean isSetInFile() {
        return line > 0;
    }
}

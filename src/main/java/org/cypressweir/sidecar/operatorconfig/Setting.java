package org.cypressweir.sidecar.operatorconfig;

/**
 * A value and where it came from.
 *
 * @param line where the file sets it; 0 where the file doesn't
 * @param origin for people: the section and line, or what else says so
 */
public record Setting<T>(T value, int line, String origin) {

    boolean isSetInFile() {
        return line > 0;
    }
}

package org.cypressweir.meshctl;

import java.util.Map;

/**
 * What one process answered: its state, or why there is none.
 *
 * @param name as others tell of it, or it itself; empty where nobody has
 */
record NodeResponse(String at, String name, Map<String, Object> state, String why) {

    boolean silent() {
        return state == null;
    }

    /** One line for people. */
    String complaint() {
        return at + ": " + why + (name.isEmpty() ? "" : " (" + name + ")");
    }
}

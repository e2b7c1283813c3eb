package larkbank.bridge;

import java.util.Map;

/** What one address answered: its state, or why there is none. */
record Said(String at, Map<String, Object> state, String why) {

    boolean silent() {
        return state == null;
    }
}

package org.cypressweir.meshctl.command;

/** The two kinds of processes of a mesh. */
enum NodeKind {
    CONTROLLER("harbour", "controller"),
    PROXY("pilot", "proxy");

    /** The text of the kind in answers to the state call; it is fixed, since builds may be mixed. */
    private final String wireName;

    private final String displayName;

    NodeKind(String wireName, String displayName) {
        this.wireName = wireName;
        this.displayName = displayName;
    }

    String displayName() {
        return displayName;
    }

    boolean is(Object text) {
        return wireName.equals(text);
    }

    /** The name to show for a text of the state call; a text that is unknown here is shown as it is. */
    static Object displayName(Object text) {
        for (NodeKind kind : values()) {
            if (kind.is(text)) {
                return kind.displayName;
            }
        }
        return text;
    }
}

package org.cypressweir.meshctl.state;

/** The two kinds of processes of a mesh. */
public enum NodeKind {
    CONTROLLER("harbour", "controller"),
    PROXY("pilot", "proxy");

    /** The text of the kind in responses to the state call; fixed, since processes may run different builds. */
    private final String wireName;

    private final String displayName;

    NodeKind(String wireName, String displayName) {
        this.wireName = wireName;
        this.displayName = displayName;
    }

    public String displayName() {
        return displayName;
    }

    boolean is(JsonValue kind) {
        return kind.isText(wireName);
    }

    /** The name to show for a kind in a response to the state call; an unknown kind is shown unchanged. */
    public static JsonValue displayName(JsonValue kind) {
        for (NodeKind known : values()) {
            if (known.is(kind)) {
                return JsonValue.of(known.displayName);
            }
        }
        return kind;
    }
}

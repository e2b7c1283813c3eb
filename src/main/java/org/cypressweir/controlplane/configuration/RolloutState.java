package org.cypressweir.controlplane.configuration;

/** How far a rollout is. The names are those of the operators' interface and fixed; they are also on disk. */
public enum RolloutState {
    /** The new version gets a part of the requests. */
    IN_PROGRESS("in_progress"),
    /** The new version gets all requests; the old one may end. Final. */
    COMPLETED("completed"),
    /** The new version gets no requests. Final. */
    REVERTED("reverted");

    private final String wireName;

    RolloutState(String wireName) {
        this.wireName = wireName;
    }

    public String wireName() {
        return wireName;
    }

    /** The state of that name, or null. */
    static RolloutState of(String wireName) {
        for (RolloutState state : values()) {
            if (state.wireName.equals(wireName)) {
                return state;
            }
        }
        return null;
    }
}

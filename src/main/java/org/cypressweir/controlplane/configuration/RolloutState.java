package org.cypressweir.controlplane.configuration;

/** The state of a rollout. The names are fixed: they are part of the operators' interface, and on disk. */
public enum RolloutState {
    /** The new version gets a share of the requests. */
    IN_PROGRESS("in_progress"),
    /** The new version gets all requests; instances of the old one may be stopped. Final. */
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

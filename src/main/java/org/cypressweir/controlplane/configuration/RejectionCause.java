package org.cypressweir.controlplane.configuration;

/** The part of a configuration change that a rejection is about, for programs that act on it. */
public sealed interface RejectionCause {

    /** The change as a whole, such as a text that is no JSON object. */
    RejectionCause WHOLE_CHANGE = new WholeChange();

    /** The change as a whole. */
    record WholeChange() implements RejectionCause {}

    /** A section of the change with an unknown name. */
    record UnknownSection(String name) implements RejectionCause {}

    /** A table of items to upsert, as it is named in the change. */
    record UpsertedTable(String table) implements RejectionCause {}

    /** An item, in the change or affected by it. */
    record InvalidItem(ItemKey item) implements RejectionCause {}

    /**
     * A field of an item to upsert.
     *
     * @param path of the field within the item, such as {@code weightedSplit[0].weight}
     * @param mustBeAbsent whether no value of the field is valid beside the other fields
     */
    record InvalidField(ItemKey item, String path, boolean mustBeAbsent) implements RejectionCause {}

    /** A route that sends requests to a service that does not exist. */
    record UnknownService(ItemKey route, String service) implements RejectionCause {}

    /** A table of items to withdraw, as it is named in the change. */
    record WithdrawnTable(String table) implements RejectionCause {}

    /** An entry of a table of items to withdraw. */
    record WithdrawnItem(String table, int index) implements RejectionCause {}
}

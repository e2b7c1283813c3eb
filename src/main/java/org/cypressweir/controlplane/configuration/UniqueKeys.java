package org.cypressweir.controlplane.configuration;

import io.vavr.collection.HashMap;

/**
 * An index from unique keys to the items that own them, so that the cost of validating a change depends on the size
 * of the change, not of the configuration. Immutable.
 */
final class UniqueKeys {

    static final UniqueKeys NONE = new UniqueKeys(HashMap.empty());

    private final HashMap<UniqueKey, ItemKey> owners;

    private UniqueKeys(HashMap<UniqueKey, ItemKey> owners) {
        this.owners = owners;
    }

    /** The owner of a key, or null. Of several items with the same key, the first that was added owns it. */
    ItemKey owner(UniqueKey key) {
        return owners.get(key).getOrNull();
    }

    UniqueKeys without(Item item) {
        HashMap<UniqueKey, ItemKey> next = owners;
        for (UniqueKey key : UniqueKey.of(item)) {
            if (item.key().equals(owner(key))) {
                next = next.remove(key);
            }
        }
        return new UniqueKeys(next);
    }

    UniqueKeys with(Item item) {
        HashMap<UniqueKey, ItemKey> next = owners;
        for (UniqueKey key : UniqueKey.of(item)) {
            if (!next.containsKey(key)) {
                next = next.put(key, item.key());
            }
        }
        return new UniqueKeys(next);
    }
}

package org.cypressweir.controlplane.storage;

/** The in-memory store passes the {@link StoreContract}. */
class InMemoryStoreTest extends StoreContract {

    @Override
    Store open() {
        return new InMemoryStore();
    }

    @Override
    Store reopen(Store store) {
        return store;
    }
}

package org.cypressweir.controlplane.storage;

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

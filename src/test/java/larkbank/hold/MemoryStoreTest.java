package larkbank.hold;

class MemoryStoreTest extends StoreContract {

    @Override
    Store open() {
        return new MemoryStore();
    }

    @Override
    Store again(Store before) {
        return before;
    }
}

package org.cypressweir.controlplane.storage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * The records of a replica's state in a Xodus environment: one store with a record for each item, one with a
 * record for each other field. No other class knows their names and encodings. Each method runs in a transaction
 * of the caller, and throws an unchecked exception where a record cannot be parsed.
 */
final class StateRecords {

    // The names of stores and keys are on disk, and so are fixed.
    private static final String ITEMS_STORE = "items";
    private static final String FIELDS_STORE = "terms";
    private static final ByteIterable PROMISED_KEY = bytes("promised");
    private static final ByteIterable ACCEPTED_KEY = bytes("accepted");
    private static final ByteIterable VOTERS_KEY = bytes("crew");
    private static final ByteIterable SECOND_HAND_KEY = bytes("hearsay");
    private static final ByteIterable DISK_ID_KEY = bytes("disk");
    private static final ByteIterable CHECKSUM_KEY = bytes("seal");

    private static final String VOTER_SEPARATOR = "\n";

    /** The stored state with the checksum of its last write, which has been verified. */
    record VerifiedState(PersistentState state, WriteChecksum checksum) {}

    private final Environment environment;

    StateRecords(Environment environment) {
        this.environment = environment;
    }

    /**
     * Reads and verifies all records; returns null where nothing was written yet.
     *
     * @throws IllegalArgumentException where they do not match their checksum
     */
    VerifiedState read(Transaction transaction) {
        if (!environment.storeExists(FIELDS_STORE, transaction)) {
            return null;
        }
        Store fields = environment.openStore(FIELDS_STORE, StoreConfig.USE_EXISTING, transaction);
        if (fields.get(transaction, PROMISED_KEY) == null) {
            return null;
        }
        List<Item> items = new ArrayList<>();
        long itemsSum = readItems(transaction, items);
        WriteChecksum checksum = verify(fields, itemsSum, transaction);
        return new VerifiedState(state(fields, items, transaction), checksum);
    }

    /** Adds all items to the list, and returns the sum of their checksums. */
    private long readItems(Transaction transaction, List<Item> items) {
        Store store = environment.openStore(ITEMS_STORE, StoreConfig.USE_EXISTING, transaction);
        long itemsSum = 0;
        try (Cursor cursor = store.openCursor(transaction)) {
            while (cursor.getNext()) {
                items.add(Item.ofText(text(cursor.getValue())));
                itemsSum += checksum(cursor.getKey(), cursor.getValue());
            }
        }
        return itemsSum;
    }

    private static WriteChecksum verify(Store fields, long itemsSum, Transaction transaction) {
        ByteIterable stored = fields.get(transaction, CHECKSUM_KEY);
        if (stored == null) {
            // Written by a build without checksums: the next write adds one.
            return new WriteChecksum(0, itemsSum);
        }
        WriteChecksum checksum = WriteChecksum.parse(text(stored), checksummedFields(fields, transaction));
        if (checksum.itemsSum() != itemsSum) {
            throw new IllegalArgumentException("checksum mismatch of the items");
        }
        return checksum;
    }

    private static PersistentState state(Store fields, List<Item> items, Transaction transaction) {
        String voters = text(fields.get(transaction, VOTERS_KEY));
        ByteIterable diskId = fields.get(transaction, DISK_ID_KEY);
        return new PersistentState(
                ProposalNumber.of(text(fields.get(transaction, PROMISED_KEY))),
                ProposalNumber.of(text(fields.get(transaction, ACCEPTED_KEY))),
                voters.isEmpty() ? List.of() : List.of(voters.split(VOTER_SEPARATOR)),
                items,
                Boolean.parseBoolean(text(fields.get(transaction, SECOND_HAND_KEY))),
                diskId == null ? 0 : Long.parseLong(text(diskId)));
    }

    /** The texts of the fields in the order in which they are checksummed, which is fixed too. */
    private static List<String> checksummedFields(Store fields, Transaction transaction) {
        // Earlier builds wrote no disk id.
        return Stream.of(PROMISED_KEY, ACCEPTED_KEY, VOTERS_KEY, SECOND_HAND_KEY, DISK_ID_KEY)
                .filter(key -> key != DISK_ID_KEY || fields.get(transaction, DISK_ID_KEY) != null)
                .map(key -> text(fields.get(transaction, key)))
                .toList();
    }

    /**
     * Writes an update and the checksum of the state after it, which is returned.
     *
     * @param previous the checksum of the state before it
     * @param secondHand whether the accepted state was learned from others, and so is no vote
     */
    WriteChecksum write(StorageUpdate update, boolean secondHand, WriteChecksum previous, Transaction transaction) {
        long itemsSum = writeItems(update, previous.itemsSum(), transaction);
        Store fields = environment.openStore(FIELDS_STORE, StoreConfig.WITHOUT_DUPLICATES, transaction);
        writeFields(update, secondHand, fields, transaction);
        WriteChecksum checksum = new WriteChecksum(previous.writeCount() + 1, itemsSum);
        String text = checksum.toText(checksummedFields(fields, transaction));
        fields.put(transaction, CHECKSUM_KEY, bytes(text));
        return checksum;
    }

    /** Writes the items of an update, and returns the sum of the checksums of all items after it. */
    private long writeItems(StorageUpdate update, long previousSum, Transaction transaction) {
        long itemsSum = previousSum;
        if (update.fullSnapshot()) {
            itemsSum = 0;
            if (environment.storeExists(ITEMS_STORE, transaction)) {
                environment.truncateStore(ITEMS_STORE, transaction);
            }
        }
        Store store = environment.openStore(ITEMS_STORE, StoreConfig.WITHOUT_DUPLICATES, transaction);
        for (Item item : update.items()) {
            ByteIterable key = recordKey(item.key());
            ByteIterable value = bytes(item.toText());
            ByteIterable replaced = store.get(transaction, key);
            itemsSum += checksum(key, value) - (replaced == null ? 0 : checksum(key, replaced));
            store.put(transaction, key, value);
        }
        return itemsSum;
    }

    private static void writeFields(StorageUpdate update, boolean secondHand, Store fields, Transaction transaction) {
        fields.put(transaction, PROMISED_KEY, bytes(update.promised().toString()));
        if (update.accepted() != null || fields.get(transaction, ACCEPTED_KEY) == null) {
            ProposalNumber accepted = update.accepted() == null ? ProposalNumber.ZERO : update.accepted();
            fields.put(transaction, ACCEPTED_KEY, bytes(accepted.toString()));
        }
        if (update.accepted() != null || fields.get(transaction, SECOND_HAND_KEY) == null) {
            fields.put(transaction, SECOND_HAND_KEY, bytes(Boolean.toString(secondHand)));
        }
        if (update.voters() != null || fields.get(transaction, VOTERS_KEY) == null) {
            List<String> voters = update.voters() == null ? List.of() : update.voters();
            fields.put(transaction, VOTERS_KEY, bytes(String.join(VOTER_SEPARATOR, voters)));
        }
        if (update.setsDiskId()) {
            fields.put(transaction, DISK_ID_KEY, bytes(Long.toString(update.disk())));
        }
    }

    /** Not {@link ItemKey#toString}, which has no dot for the limits. */
    private static ByteIterable recordKey(ItemKey key) {
        return bytes(key.type().wireName() + "." + key.name());
    }

    private static long checksum(ByteIterable key, ByteIterable value) {
        return WriteChecksum.ofItem(
                Arrays.copyOf(key.getBytesUnsafe(), key.getLength()),
                Arrays.copyOf(value.getBytesUnsafe(), value.getLength()));
    }

    private static ByteIterable bytes(String text) {
        return new ArrayByteIterable(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteIterable bytes) {
        return new String(bytes.getBytesUnsafe(), 0, bytes.getLength(), StandardCharsets.UTF_8);
    }
}

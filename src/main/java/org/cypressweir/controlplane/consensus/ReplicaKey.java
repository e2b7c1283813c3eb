package org.cypressweir.controlplane.consensus;

/**
 * Names a replica: an address and the number of the disk there, written {@code address/number}, or the address
 * alone where the number is 0: on disks of the very first start. Another disk is another replica, since it
 * has not promised what the one before has.
 */
public final class ReplicaKey {

    private ReplicaKey() {}

    static String of(String address, long disk) {
        return disk == 0 ? address : address + "/" + disk;
    }

    /** Where that replica is reached. */
    public static String address(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? key : key.substring(0, slash);
    }
}

package org.cypressweir.controlplane.consensus;

/**
 * The key of a replica: its address and the number of its disk, written {@code address/number}, or the address
 * alone if the number is 0, as it is on the disks of the very first start. A new disk at the same address is
 * another replica, since it does not hold the promises of the old one.
 */
public final class ReplicaKey {

    private ReplicaKey() {}

    static String of(String address, long disk) {
        return disk == 0 ? address : address + "/" + disk;
    }

    /** The address at which the replica is reached. */
    public static String address(String key) {
        int slash = key.indexOf('/');
        return slash < 0 ? key : key.substring(0, slash);
    }
}

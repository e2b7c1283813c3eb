package org.cypressweir.controlplane.consensus;

/**
 * A member is an address and the number of the disk there, written {@code address/number}, or the address
 * alone where the number is 0: on disks of the very first start. Another disk is another member.
 */
public final class ReplicaKey {

    private ReplicaKey() {}

    static String of(String address, long disk) {
        return disk == 0 ? address : address + "/" + disk;
    }

    /** Where that member is spoken to. */
    public static String address(String member) {
        int slash = member.indexOf('/');
        return slash < 0 ? member : member.substring(0, slash);
    }
}

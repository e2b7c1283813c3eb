package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Members in the order of their positions, and of their slots where positions are equal. Access by index takes constant
 * time, so a random draw costs the same however many there are; a ring walk can begin at any position. Members may be
 * marked.
 */
final class IndexedMembers<M extends IndexedMembers.Member> {

    private static final Comparator<Member> ORDER =
            Comparator.<Member>comparingLong(m -> m.position).thenComparingInt(m -> m.slot);

    /** What can be a member; position, slot and mark must not change while it is one, except by {@link #mark}. */
    abstract static class Member {
        int slot = -1;
        long position;
        boolean marked;
    }

    private Member[] members;
    private int size;
    private final List<M> markedMembers = new ArrayList<>(0);
    private int lastMarked;

    /** Creates an index of the given members, in any order; takes ownership of the array. */
    IndexedMembers(Member[] unordered) {
        members = unordered;
        Arrays.sort(members, ORDER);
        size = members.length;
        for (int i = 0; i < size; i++) {
            if (members[i].marked) {
                markedMembers.add(get(i));
            }
        }
    }

    int size() {
        return size;
    }

    @SuppressWarnings("unchecked")
    M get(int index) {
        return (M) members[index];
    }

    int markedCount() {
        return markedMembers.size();
    }

    /** The next marked member, round robin; there must be one. */
    M nextMarked() {
        lastMarked = (lastMarked + 1) % markedMembers.size();
        return markedMembers.get(lastMarked);
    }

    /** The index of the first member whose position is not before the given one; 0 if there is none. */
    int indexFrom(long position) {
        int low = 0;
        for (int high = size; low < high; ) {
            int middle = (low + high) >>> 1;
            if (members[middle].position < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low == size ? 0 : low;
    }

    /** Adds a member that is not in the index. */
    void insert(M m) {
        int at = -1 - Arrays.binarySearch(members, 0, size, m, ORDER);
        if (size == members.length) {
            members = Arrays.copyOf(members, size + 1 + (size >> 1));
        }
        System.arraycopy(members, at, members, at + 1, size++ - at);
        members[at] = m;
        mark(m);
    }

    /** Removes a member that is in the index. */
    void remove(M m) {
        int at = Arrays.binarySearch(members, 0, size, m, ORDER);
        System.arraycopy(members, at + 1, members, at, --size - at);
        members[size] = null;
        markedMembers.remove(m);
    }

    /** Updates the index after a member's mark has changed. */
    void mark(M m) {
        if (m.marked) {
            markedMembers.add(m);
        } else {
            markedMembers.remove(m);
        }
    }
}

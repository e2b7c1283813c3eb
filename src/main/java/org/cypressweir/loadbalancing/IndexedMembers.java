package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * Members in the order of their places, of equals in that of their slots: any of them is at hand by its
 * number,
 * so that a draw costs the same however many there are; a ring walk begins at any place. Some may be marked.
 */
final class IndexedMembers<M extends IndexedMembers.Member> {

    private static final Comparator<Member> ORDER =
            Comparator.<Member>comparingLong(m -> m.place).thenComparingInt(m -> m.slot);

    /** What can be a member; place, slot and mark do not change while it is one, but by {@link #mark}. */
    abstract static class Member {
        int slot = -1;
        long place;
        boolean marked;
    }

    private Member[] members;
    private int size;
    private final List<M> marked = new ArrayList<>(0);
    private int turn;

    /** Of these, in any order; the array is taken over. */
    IndexedMembers(Member[] unordered) {
        members = unordered;
        Arrays.sort(members, ORDER);
        size = members.length;
        for (int i = 0; i < size; i++) {
            if (members[i].marked) {
                marked.add(get(i));
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

    int marked() {
        return marked.size();
    }

    /** The marked ones in turn; there must be one. */
    M nextMarked() {
        turn = (turn + 1) % marked.size();
        return marked.get(turn);
    }

    /** Where the first member stands whose place is not before this one; 0 past the last. */
    int from(long place) {
        int low = 0;
        for (int high = size; low < high; ) {
            int middle = (low + high) >>> 1;
            if (members[middle].place < place) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low == size ? 0 : low;
    }

    /** Takes in what is no member yet. */
    void insert(M m) {
        int at = -1 - Arrays.binarySearch(members, 0, size, m, ORDER);
        if (size == members.length) {
            members = Arrays.copyOf(members, size + 1 + (size >> 1));
        }
        System.arraycopy(members, at, members, at + 1, size++ - at);
        members[at] = m;
        mark(m);
    }

    /** Lets go what is a member. */
    void remove(M m) {
        int at = Arrays.binarySearch(members, 0, size, m, ORDER);
        System.arraycopy(members, at + 1, members, at, --size - at);
        members[size] = null;
        marked.remove(m);
    }

    /** Follows a member's mark, which has changed. */
    void mark(M m) {
        if (m.marked) {
            marked.add(m);
        } else {
            marked.remove(m);
        }
    }
}

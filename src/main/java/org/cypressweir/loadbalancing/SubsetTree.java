package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A subset tree after MOSN's inverted index (PAPER): one bitmap per value of each label key, updated by each change.
 * A node holds the members with given values of some keys. It is built by an intersection of bitmaps when it is first
 * asked for, and updated from then on. A member is in the tree at most once. The members of a node are ordered by
 * position, then by slot, so that a ring walk and a deterministic subset are cheap. */
final class SubsetTree<M extends SubsetTree.Member> {

    /** As a value of a key in a query, any value; as a label, none. */
    static final int ANY = -1;
    private static final int INSERT = 0, REMOVE = 1, MARK = 2;

    /** What can be in the tree; its labels and position are valid from when it is added until it is removed. */
    abstract static class Member extends IndexedMembers.Member {
        int[] labels;

        final boolean isInTree() {
            return slot >= 0;
        }
    }

    private static final class Branch<M extends Member> {
        /** By value + 1: the first is for {@link #ANY}. */
        private final List<Branch<M>> children = new ArrayList<>(1);
        private IndexedMembers<M> node;

        private Branch<M> child(int value) {
            return value + 1 < children.size() ? children.get(value + 1) : null;
        }

        private Branch<M> getOrCreateChild(int value) {
            while (children.size() <= value + 1) children.add(null);
            if (child(value) == null) children.set(value + 1, new Branch<>());
            return child(value);
        }
    }

    private final List<List<BitSet>> index = new ArrayList<>();
    private final List<M> members = new ArrayList<>();
    /** Slots in use; scratch space for the slots of a node that is being built. */
    private final BitSet usedSlots = new BitSet(), matching = new BitSet();
    private int size;
    private Branch<M> root = new Branch<>();

    /** Creates a tree over the given number of label keys. */
    SubsetTree(int keys) {
        for (int k = 0; k < keys; k++) index.add(new ArrayList<>());
    }

    /** The number of members in the tree. */
    int size() {
        return size;
    }

    /** Adds a member that is not in the tree, with a value or {@link #ANY} for each key. */
    void add(M m, long position, int... labels) {
        m.position = position;
        m.labels = labels;
        m.slot = usedSlots.nextClearBit(0);
        usedSlots.set(m.slot);
        size++;
        if (m.slot == members.size()) members.add(m);
        else members.set(m.slot, m);
        for (int k = 0; k < labels.length; k++) if (labels[k] >= 0) bits(k, labels[k]).set(m.slot);
        visit(root, 0, m, INSERT);
    }

    /** Removes a member that is in the tree; it keeps its mark. */
    void remove(M m) {
        visit(root, 0, m, REMOVE);
        for (int k = 0; k < m.labels.length; k++) if (m.labels[k] >= 0) bits(k, m.labels[k]).clear(m.slot);
        members.set(m.slot, null);
        usedSlots.clear(m.slot);
        size--;
        m.slot = -1;
    }

    /** Marks or unmarks a member, whether or not it is in the tree. */
    void mark(M m, boolean mark) {
        if (m.marked == mark) return;
        m.marked = mark;
        if (m.isInTree()) visit(root, 0, m, MARK);
    }

    /** The node of the given values, one for each key. */
    IndexedMembers<M> node(int... values) {
        Branch<M> at = root;
        for (int value : values) at = at.getOrCreateChild(value);
        if (at.node == null) at.node = build(values);
        return at.node;
    }

    /** Removes all nodes and members; the members keep their marks. */
    void clear() {
        for (M m : members) if (m != null) m.slot = -1;
        members.clear();
        usedSlots.clear();
        size = 0;
        index.forEach(List::clear);
        root = new Branch<>();
    }

    private BitSet bits(int key, int value) {
        List<BitSet> values = index.get(key);
        while (values.size() <= value) values.add(new BitSet());
        return values.get(value);
    }

    private IndexedMembers<M> build(int[] values) {
        matching.clear();
        matching.or(usedSlots);
        for (int k = 0; k < values.length; k++) if (values[k] >= 0) matching.and(bits(k, values[k]));
        Member[] found = new Member[matching.cardinality()];
        int count = 0;
        for (int i = matching.nextSetBit(0); i >= 0; i = matching.nextSetBit(i + 1)) found[count++] = members.get(i);
        return new IndexedMembers<>(found);
    }

    /** Updates the existing nodes that the member belongs to: at each key those of any value and of its own. */
    private void visit(Branch<M> branch, int key, M m, int change) {
        if (branch != null && key < index.size()) {
            visit(branch.child(ANY), key + 1, m, change);
            if (m.labels[key] >= 0) visit(branch.child(m.labels[key]), key + 1, m, change);
        } else if (branch != null && branch.node != null) {
            if (change == INSERT) branch.node.insert(m);
            else if (change == REMOVE) branch.node.remove(m);
            else branch.node.mark(m);
        }
    }
}

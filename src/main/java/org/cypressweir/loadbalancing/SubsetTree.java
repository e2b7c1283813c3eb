package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** The subset tree, after MOSN's inverted index (PAPER): one bitmap for each value of each label key, kept up
 * by each change; a node, the servers that carry a value of some keys, is an intersection of bitmaps, made
 * when it is first asked for and patched from then on. A member is in the tree once. Members of a node have
 * an order, by their place and then by when they came, so that a ring walk and a subset of one's own are
 * cheap. */
final class SubsetTree<M extends SubsetTree.Member> {

    /** Stands for any value of a key; as a label, for none. */
    static final int ANY = -1;
    private static final int INSERT = 0, REMOVE = 1, MARK = 2;

    /** What can be in the tree; its labels and place hold from when it is added until it is removed. */
    abstract static class Member extends IndexedMembers.Member {
        int[] labels;

        final boolean isIn() {
            return slot >= 0;
        }
    }

    private static final class Branch<M extends Member> {
        /** By value, the first for any. */
        private final List<Branch<M>> next = new ArrayList<>(1);
        private IndexedMembers<M> node;

        private Branch<M> at(int value) {
            return value + 1 < next.size() ? next.get(value + 1) : null;
        }

        private Branch<M> make(int value) {
            while (next.size() <= value + 1) next.add(null);
            if (at(value) == null) next.set(value + 1, new Branch<>());
            return at(value);
        }
    }

    private final List<List<BitSet>> index = new ArrayList<>();
    private final List<M> members = new ArrayList<>();
    /** Slots in use, and those of the node that is being built. */
    private final BitSet taken = new BitSet(), all = new BitSet();
    private int size;
    private Branch<M> root = new Branch<>();

    /** A tree over so many label keys. */
    SubsetTree(int keys) {
        for (int k = 0; k < keys; k++) index.add(new ArrayList<>());
    }

    /** Members in the tree. */
    int size() {
        return size;
    }

    /** Adds a member that is not in, with a value or {@link #ANY} for each key. */
    void add(M m, long place, int... labels) {
        m.place = place;
        m.labels = labels;
        m.slot = taken.nextClearBit(0);
        taken.set(m.slot);
        size++;
        if (m.slot == members.size()) members.add(m);
        else members.set(m.slot, m);
        for (int k = 0; k < labels.length; k++) if (labels[k] >= 0) bits(k, labels[k]).set(m.slot);
        visit(root, 0, m, INSERT);
    }

    /** Takes out a member that is in; its mark stays with it. */
    void remove(M m) {
        visit(root, 0, m, REMOVE);
        for (int k = 0; k < m.labels.length; k++) if (m.labels[k] >= 0) bits(k, m.labels[k]).clear(m.slot);
        members.set(m.slot, null);
        taken.clear(m.slot);
        size--;
        m.slot = -1;
    }

    /** Marks a member, in the tree or not, or takes its mark away. */
    void mark(M m, boolean mark) {
        if (m.marked == mark) return;
        m.marked = mark;
        if (m.isIn()) visit(root, 0, m, MARK);
    }

    /** The node of these values, one for each key. */
    IndexedMembers<M> node(int... values) {
        Branch<M> at = root;
        for (int value : values) at = at.make(value);
        if (at.node == null) at.node = build(values);
        return at.node;
    }

    /** Forgets all nodes and members; what they are marked with stays. */
    void clear() {
        for (M m : members) if (m != null) m.slot = -1;
        members.clear();
        taken.clear();
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
        all.clear();
        all.or(taken);
        for (int k = 0; k < values.length; k++) if (values[k] >= 0) all.and(bits(k, values[k]));
        Member[] found = new Member[all.cardinality()];
        int count = 0;
        for (int i = all.nextSetBit(0); i >= 0; i = all.nextSetBit(i + 1)) found[count++] = members.get(i);
        return new IndexedMembers<>(found);
    }

    /** Visits the nodes that exist and that the member belongs to: two ways at each key. */
    private void visit(Branch<M> branch, int key, M m, int change) {
        if (branch != null && key < index.size()) {
            visit(branch.at(ANY), key + 1, m, change);
            if (m.labels[key] >= 0) visit(branch.at(m.labels[key]), key + 1, m, change);
        } else if (branch != null && branch.node != null) {
            if (change == INSERT) branch.node.insert(m);
            else if (change == REMOVE) branch.node.remove(m);
            else branch.node.mark(m);
        }
    }
}

package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * The case of the MOSN article: 8,000 hosts with 4 labels of 3 values each, and the tree of all nodes. Naive: each node
 * compares the labels of all hosts. Index: one bitmap per value, nodes by intersection.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class SubsetTreePaperBench {

    private static final int HOSTS = 8_000;
    private static final int KEYS = 4;
    private static final int VALUES = 3;

    private List<Map<String, String>> named;
    private List<String> addresses;
    private List<Host> hosts;
    private int[][] labels;

    private static final class Host extends SubsetTree.Member {}

    @Setup
    public void setUp() {
        SplittableRandom random = new SplittableRandom(8);
        labels = new int[HOSTS][];
        named = new ArrayList<>();
        addresses = new ArrayList<>();
        hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            labels[i] = random.ints(KEYS, 0, VALUES).toArray();
            Map<String, String> map = new HashMap<>();
            for (int k = 0; k < KEYS; k++) {
                map.put("key" + k, "value" + labels[i][k]);
            }
            named.add(map);
            addresses.add("10.0." + i / 256 + "." + i % 256 + ":8080");
            hosts.add(new Host());
        }
    }

    /** The nodes of all prefixes of one list of sorted keys: 3 + 9 + 27 + 81. */
    @Benchmark
    public int naive() {
        List<List<Map<String, String>>> nodes = new ArrayList<>();
        grow(new HashMap<>(), 0, nodes);
        return nodes.size();
    }

    private void grow(Map<String, String> wanted, int key, List<List<Map<String, String>>> nodes) {
        if (key == KEYS) {
            return;
        }
        for (int v = 0; v < VALUES; v++) {
            Map<String, String> next = new HashMap<>(wanted);
            next.put("key" + key, "value" + v);
            // Each node's hosts are deduplicated by address, as in the article's first version.
            Map<String, Map<String, String>> hosts = new HashMap<>();
            for (int i = 0; i < HOSTS; i++) {
                if (matches(named.get(i), next)) {
                    hosts.put(addresses.get(i), named.get(i));
                }
            }
            nodes.add(new ArrayList<>(hosts.values()));
            grow(next, key + 1, nodes);
        }
    }

    private static boolean matches(Map<String, String> host, Map<String, String> wanted) {
        for (Map.Entry<String, String> label : wanted.entrySet()) {
            if (!label.getValue().equals(host.get(label.getKey()))) {
                return false;
            }
        }
        return true;
    }

    /** The same nodes, all queried in one go after the hosts have been added to the index. */
    @Benchmark
    public int index() {
        SubsetTree<Host> tree = new SubsetTree<>(KEYS);
        for (int i = 0; i < HOSTS; i++) {
            tree.add(hosts.get(i), i, labels[i]);
        }
        int nodes = ask(tree, new int[] {-1, -1, -1, -1}, 0);
        tree.clear();
        return nodes;
    }

    private static int ask(SubsetTree<Host> tree, int[] values, int key) {
        int nodes = 0;
        for (int v = 0; key < KEYS && v < VALUES; v++) {
            values[key] = v;
            tree.node(values.clone());
            nodes += 1 + ask(tree, values, key + 1);
            values[key] = -1;
        }
        return nodes;
    }
}

package org.cypressweir.controlplane.consensus;

import org.cypressweir.testkit.ConsensusPartitions;

/**
 * Measures how long changes take until they are acknowledged, and how many proposal rounds begin, with eight changes
 * at once before, during and after network partitions. Runs in simulated time.
 */
public final class PartitionBench {

    private PartitionBench() {}

    /**
     * Arguments: the number of scenarios of each kind, the maximum message delay in milliseconds, and the lengths of
     * the partitions in seconds.
     */
    public static void main(String[] args) {
        String[] arguments = String.join(" ", args).split(" ");
        for (int i = 2; i < arguments.length; i++) {
            for (ConsensusPartitions.Kind kind : ConsensusPartitions.Kind.values()) {
                String partitionSeconds = arguments[i];
                ConsensusPartitions.measure(
                                kind,
                                Long.parseLong(partitionSeconds) * 1_000_000,
                                Long.parseLong(arguments[1]) * 1_000,
                                Integer.parseInt(arguments[0]))
                        .forEach((phase, figures) ->
                                System.out.println(kind + " " + partitionSeconds + " s, " + phase + ": " + figures));
            }
        }
    }
}

package org.cypressweir.controlplane.consensus;

import org.cypressweir.testkit.ConsensusPartitions;

/** Time to acknowledge and rounds begun, with eight orders at once, before, in and after cuts; made-up time. */
public final class PartitionBench {

    private PartitionBench() {}

    /** How many days of each kind, the most delay of a message in ms, and the lengths of cuts in seconds. */
    public static void main(String[] args) {
        String[] given = String.join(" ", args).split(" ");
        for (int i = 2; i < given.length; i++) {
            for (ConsensusPartitions.Kind kind : ConsensusPartitions.Kind.values()) {
                String cut = given[i];
                ConsensusPartitions.measure(
                                kind,
                                Long.parseLong(cut) * 1_000_000,
                                Long.parseLong(given[1]) * 1_000,
                                Integer.parseInt(given[0]))
                        .forEach((phase, figures) ->
                                System.out.println(kind + " " + cut + " s, " + phase + ": " + figures));
            }
        }
    }
}

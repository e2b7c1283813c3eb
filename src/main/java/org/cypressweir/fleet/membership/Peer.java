package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;

/**
 * The identity of a process in one incarnation.
 *
 * @param name its name in the fleet
 * @param processId random number of this run of the process, so that two with one name are told apart
 * @param startedAtMillis when the process was started, in milliseconds of Unix time; of two that take one name at the
 *        same incarnation the earlier has it. Nothing else depends on it
 * @param incarnation counts how often a process of this name has come back
 * @param address where others reach it
 */
public record Peer(String name, long processId, long startedAtMillis, int incarnation, InetSocketAddress address) {

    Peer withIncarnation(int newIncarnation) {
        return new Peer(name, processId, startedAtMillis, newIncarnation, address);
    }
}

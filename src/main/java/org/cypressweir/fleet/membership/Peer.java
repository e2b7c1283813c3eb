package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;

/**
 * The identity of a process in one incarnation.
 *
 * @param name name of the process in the fleet
 * @param processId random id of this run of the process, which distinguishes two processes with the same name
 * @param startedAtMillis when the process was started, in milliseconds of Unix time; of two processes that take one
 *        name at the same incarnation, the earlier one holds it. Nothing else depends on it
 * @param incarnation number that is increased each time a process of this name rejoins
 * @param address where other processes reach this one
 */
public record Peer(String name, long processId, long startedAtMillis, int incarnation, InetSocketAddress address) {

    Peer withIncarnation(int newIncarnation) {
        return new Peer(name, processId, startedAtMillis, newIncarnation, address);
    }
}

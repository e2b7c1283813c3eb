package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;

/**
 * Who says something.
 *
 * @param name its name in the fleet
 * @param life drawn anew by each process, so that two with one name are told apart
 * @param born when the process was started, in milliseconds of Unix time; of two that take one name at the
 *        same incarnation the earlier has it. Nothing else hangs on it
 * @param incarnation counts how often this name had to come back
 * @param address where others reach it
 */
public record Peer(String name, long life, long born, int incarnation, InetSocketAddress address) {

    Peer again(int next) {
        return new Peer(name, life, born, next, address);
    }
}

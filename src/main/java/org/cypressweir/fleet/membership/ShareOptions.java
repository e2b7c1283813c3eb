package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Options for dividing a fleet-wide limit among the live processes.
 *
 * @param voters addresses of the processes that count the live ones; must be the same in every process
 * @param holdMicros how long a voter's grant is valid, from when it was requested
 * @param lingerMicros how long a paused process may keep in use what it had in use, such as connections
 * @param maxProcesses maximum number of processes that ever run at once
 */
public record ShareOptions(List<InetSocketAddress> voters, long holdMicros, long lingerMicros, int maxProcesses) {

    /** Time after which a process that is gone is counted by no voter, and one that has joined may claim a share. */
    public long releaseMicros() {
        return ShareClaim.releaseMicros(holdMicros, lingerMicros);
    }
}

package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a limit of the whole fleet is divided among the live processes.
 *
 * @param voters addresses of the processes that count the live ones; the same in every process
 * @param holdMicros for which a voter's grant counts from when it was requested
 * @param lingerMicros for which what was in use stays in use at a paused process
 * @param maxProcesses processes that may ever run at once
 */
public record ShareOptions(List<InetSocketAddress> voters, long holdMicros, long lingerMicros, int maxProcesses) {

    /** After so long a process that is gone is counted by no voter, and one that has joined may claim a share. */
    public long releaseMicros() {
        return ShareRequest.releaseMicros(holdMicros, lingerMicros);
    }
}

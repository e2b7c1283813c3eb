package org.cypressweir.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How what all share is parted among the living.
 *
 * @param electors that count who lives; the same in every process
 * @param holdMicros for which the word of an elector counts from when it was asked
 * @param lingerMicros for which what was in use stays so at a process that stands still
 * @param most processes that may ever run at once
 */
public record ShareOptions(List<InetSocketAddress> electors, long holdMicros, long lingerMicros, int most) {

    /** By then a process that has gone is counted by nobody, and another that has come may claim a part. */
    public long releaseMicros() {
        return ShareRequest.release(holdMicros, lingerMicros);
    }
}

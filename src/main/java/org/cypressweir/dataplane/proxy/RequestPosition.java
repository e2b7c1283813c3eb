package org.cypressweir.dataplane.proxy;

import org.cypressweir.common.util.Hashes;
import org.cypressweir.common.util.Ids;

/**
 * Divides requests by their ids: each request has a position in [0, 1), the same at all proxies and for each attempt
 * with its id. Positions are evenly distributed, whether ids are random or numbered, and those of the purposes are
 * independent of one another.
 */
enum RequestPosition {
    /** Divides the requests of a route among its services. */
    SERVICE(1),
    /** Divides the requests of a service between its versions. */
    VERSION(2);

    private final long salt;

    RequestPosition(long salt) {
        this.salt = salt;
    }

    /** The position of the request with this id. */
    double of(String requestId) {
        return Hashes.uniform(Ids.of(requestId), salt);
    }
}

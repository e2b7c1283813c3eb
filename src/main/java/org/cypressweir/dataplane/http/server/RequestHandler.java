package org.cypressweir.dataplane.http.server;

/** Who answers the requests of a gangway. */
public interface RequestHandler {
    /** A whole request, on the loop; it is to be answered now or later. */
    void called(ServerRequest call);
}

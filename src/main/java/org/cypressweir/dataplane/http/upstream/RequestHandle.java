package org.cypressweir.dataplane.http.upstream;

/** Stands for a request that was taken; good for cancelling it. */
public sealed interface RequestHandle permits InFlightRequest {

    UpstreamRequest freight();

    /** Whether its outcome has been told. */
    boolean isOver();
}

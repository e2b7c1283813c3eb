package org.cypressweir.dataplane.http.upstream;

/** A submitted request; used to cancel it. */
public sealed interface RequestHandle permits InFlightRequest {

    /** The request as it was submitted. */
    UpstreamRequest request();

    /** Whether its outcome has been reported. */
    boolean isCompleted();
}

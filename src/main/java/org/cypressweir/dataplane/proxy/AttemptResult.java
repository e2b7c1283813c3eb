package org.cypressweir.dataplane.proxy;

import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;

/**
 * The outcome of one attempt, and the load of its application instance at that time.
 *
 * @param load null if it isn't known
 */
record AttemptResult(RequestOutcome outcome, UpstreamLoad load) {}

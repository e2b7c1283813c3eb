package org.cypressweir.dataplane.proxy;

import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;

/**
 * The outcome of one attempt, and how busy its application instance was then.
 *
 * @param load null where it isn't known
 */
record AttemptResult(RequestOutcome outcome, UpstreamLoad load) {}

package org.cypressweir.dataplane.proxy;

import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;

/** What became of one attempt, and how busy its server was then; the load may be null. */
record AttemptResult(RequestOutcome outcome, UpstreamLoad load) {}

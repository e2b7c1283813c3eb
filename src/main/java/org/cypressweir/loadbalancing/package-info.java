/**
 * Decisions about requests: which endpoints are candidates, which one gets an attempt, retries, admission limits and
 * outlier ejection. No I/O and no threads: a caller hands in time and events and carries out the decisions.
 */
package org.cypressweir.loadbalancing;

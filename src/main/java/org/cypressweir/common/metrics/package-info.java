/**
 * Metrics of the mesh's programs in the Prometheus text format. Their owners keep them as plain numbers, which are
 * written to a page on each request. The only I/O is the response to that request.
 */
package org.cypressweir.common.metrics;

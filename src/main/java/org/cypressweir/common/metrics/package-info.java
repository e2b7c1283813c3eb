/**
 * Metrics of the mesh's programs in the Prometheus text format: counts that their owners keep as plain numbers, and
 * what turns them into a page when it is asked for. The only I/O is the answer to that request.
 */
package org.cypressweir.common.metrics;

/**
 * Hands requests to the one application server beside this process, and tells truthfully of each whether it
 * was not run, was answered, or may have run. Requests wait here, in order, and not in the server's queue.
 */
package org.cypressweir.dataplane.http.upstream;

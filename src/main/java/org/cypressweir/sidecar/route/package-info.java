/**
 * Routes of the sidecar: matching a request to a route and its limits. No I/O.
 */
package org.cypressweir.sidecar.route;

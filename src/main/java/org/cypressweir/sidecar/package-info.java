/**
 * The stand-alone sidecar: its process, client listener, server pools and endpoint discovery, all on one event loop.
 */
package org.cypressweir.sidecar;

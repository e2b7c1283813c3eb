/**
 * Memory budget for large request bodies that are buffered before they are forwarded.
 */
package org.cypressweir.sidecar.buffering;

/**
 * Plug-ins of the sidecar: WebAssembly modules that inspect and change requests, with time and memory limits.
 */
package org.cypressweir.sidecar.plugin;

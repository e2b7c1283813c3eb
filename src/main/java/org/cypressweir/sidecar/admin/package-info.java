/**
 * The admin listener of the sidecar: readiness, metrics, draining and reload.
 */
package org.cypressweir.sidecar.admin;

/**
 * Command line of the sidecar. Each command is a class; output and exit statuses are documented in docs.
 */
package org.cypressweir.sidecar.cli;

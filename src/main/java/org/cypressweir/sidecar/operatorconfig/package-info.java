/**
 * Reads and validates the sidecar's operators' file, and explains the values in force.
 */
package org.cypressweir.sidecar.operatorconfig;

/**
 * The operators' file of the sidecar: reading, validation and explanation of what is in force.
 */
package org.cypressweir.sidecar.operatorconfig;

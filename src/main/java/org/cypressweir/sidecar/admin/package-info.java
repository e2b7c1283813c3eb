/**
 * Administration of the sidecar: life cycle and draining, commands of operators, metrics, and checks on reload.
 */
package org.cypressweir.sidecar.admin;

/**
 * The mesh's configuration: named items with versions, changes that operators submit, how a change is merged
 * into the current configuration, and what a valid configuration is. Pure functions on immutable values, with
 * no I/O; the control plane and the data plane share them.
 */
package org.cypressweir.controlplane.configuration;

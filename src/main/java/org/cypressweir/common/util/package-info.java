/**
 * Utilities that all programs share and that depend on no other package of the project. The sidecar loads most of
 * them at its start, so they are small and avoid lambdas and streams where possible.
 */
package org.cypressweir.common.util;

/**
 * Cells: a pool's servers are divided into isolated groups, so that overload or a fault in one does not reach the
 * others. This package assigns servers and units (tenants, keys or header values) to cells, migrates units between
 * them and quarantines units that overload their cell. No I/O.
 */
package org.cypressweir.sidecar.cell;

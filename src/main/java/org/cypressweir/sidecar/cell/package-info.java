/**
 * Cells: assignment of servers and tenants to isolated groups, migration between them and quarantine. No I/O.
 */
package org.cypressweir.sidecar.cell;

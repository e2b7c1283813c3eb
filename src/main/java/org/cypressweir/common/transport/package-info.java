/** What processes of the mesh say to each other: parcels over lines, table of calls, list of faults. */
package org.cypressweir.common.transport;

/**
 * Diagnostics of the programs of the mesh for operators: the state endpoint, the traces of the last requests, and
 * the listing of configuration items. Nothing here changes state, and tenant keys are never shown.
 */
package org.cypressweir.common.diagnostics;

/**
 * What a program of the mesh reports about itself to operators: the state endpoint, the traces of the last
 * requests, and the listing of configuration items. Nothing here changes state, and tenant keys are never shown.
 */
package org.cypressweir.common.diagnostics;

/** Records for the responses of processes to the diagnostic calls, and their decoders. No I/O. */
package org.cypressweir.meshctl.state;

/** Answers of processes to the diagnostic calls as records, decoded once where they arrive. No I/O. */
package org.cypressweir.meshctl.state;

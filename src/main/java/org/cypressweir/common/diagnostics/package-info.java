/** The state call of both programs: who answers it, and how items of the configuration are listed. */
package org.cypressweir.common.diagnostics;

/**
 * Rate limits of tenants over the whole fleet: each proxy earns an equal share of a limit as tokens, and the
 * controllers redistribute the tokens that are not needed where they were earned. No I/O.
 */
package org.cypressweir.dataplane.quota;

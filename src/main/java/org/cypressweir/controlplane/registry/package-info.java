/**
 * Registrations of proxies and of the application instances beside them. Each proxy registers itself; the state is
 * kept in memory and rebuilt by the proxies after a controller restarts.
 */
package org.cypressweir.controlplane.registry;

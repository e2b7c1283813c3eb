/**
 * Rate limits of tenants over the whole fleet: the demand is reported by the proxies and aggregated by the
 * controllers, and each proxy admits the share of the limit that corresponds to its part of the demand.
 */
package org.cypressweir.dataplane.quota;

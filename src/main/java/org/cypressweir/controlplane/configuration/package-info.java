/** What operators order: named items with versions, how orders merge, and what a valid whole is. Pure. */
package org.cypressweir.controlplane.configuration;

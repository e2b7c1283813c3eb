/** Keeps a copy on a disk. Blocking: each store is used by one thread of its own. */
package org.cypressweir.controlplane.storage;

/** Which pilots and servers there are: each tells it itself; kept in memory, told anew after a loss. */
package org.cypressweir.controlplane.registry;

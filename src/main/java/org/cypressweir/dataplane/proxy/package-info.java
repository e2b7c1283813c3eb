/** The program beside every application server: requests come in here, and go on to the right server. */
package org.cypressweir.dataplane.proxy;

/** The command line of the mesh: it starts the programs, checks files, and asks running processes. */
package org.cypressweir.meshctl;

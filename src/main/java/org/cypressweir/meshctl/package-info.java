/**
 * The command line of the mesh. {@link org.cypressweir.meshctl.MeshCtl} defines the commands and runs one of
 * them; the shell runs the same commands one after another.
 */
package org.cypressweir.meshctl;

/** The command line of the mesh's programs. */
package larkbank.bridge;

/**
 * The settings file of a program of the mesh: parsed and validated as a whole, once at the start and again
 * whenever it changes. The keys of the file are part of the public interface.
 */
package org.cypressweir.common.settings;

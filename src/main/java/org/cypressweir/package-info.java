/**
 * The mesh's programs: {@code proxy}, {@code controller} and {@code meshctl} are commands of one archive. This package
 * only starts them.
 */
package org.cypressweir;

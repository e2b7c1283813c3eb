/** The settings file of a process: read and checked whole, once at the start and again when it changes. */
package org.cypressweir.common.settings;

/** Offline checks of settings files and configuration changes that report every error of a file, not just the first. */
package org.cypressweir.meshctl.validation;

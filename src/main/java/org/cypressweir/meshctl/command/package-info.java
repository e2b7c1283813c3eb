/**
 * The commands, one class each, and what those that query running processes share: requests to many processes at
 * once, discovery of the rest of the fleet, and tables.
 */
package org.cypressweir.meshctl.command;

/**
 * The commands, one class each, and the code that the querying commands share: requests to many processes at once,
 * discovery of the rest of the fleet, and tables.
 */
package org.cypressweir.meshctl.command;

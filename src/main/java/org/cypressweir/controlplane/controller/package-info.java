/**
 * The controller process of the control plane: replicates the configuration with the other controllers, answers
 * operators, and publishes configuration and endpoints to proxies. One event loop runs everything but the disk.
 */
package org.cypressweir.controlplane.controller;

/** The program on core machines: it keeps the configuration with its like, and tells pilots the news. */
package org.cypressweir.controlplane.controller;

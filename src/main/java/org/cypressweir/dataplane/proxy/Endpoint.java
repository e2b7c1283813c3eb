package org.cypressweir.dataplane.proxy;

/**
 * An application instance that requests may be sent to.
 *
 * @param id the instance's number, by which the load balancer knows it
 * @param proxyName the proxy beside the instance
 * @param incarnation the incarnation of that proxy
 * @param address where that proxy accepts connections of its peers
 */
record Endpoint(long id, String proxyName, long incarnation, String address, String instanceId, String zone) {}

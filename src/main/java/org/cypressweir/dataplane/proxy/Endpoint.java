package org.cypressweir.dataplane.proxy;

/**
 * An application instance that requests may be sent to.
 *
 * @param id identifies the instance to the load balancer
 * @param proxyName the proxy beside the instance
 * @param incarnation the incarnation of that proxy
 * @param address the address at which that proxy accepts connections from its peers
 */
record Endpoint(long id, String proxyName, long incarnation, String address, String instanceId, String zone) {}

/**
 * The data-plane process beside each application instance. {@link
 * org.cypressweir.dataplane.proxy.OutboundListener} accepts requests of clients and of the local application and
 * looks up route, tenant and service; a {@link org.cypressweir.dataplane.proxy.ServiceRequestHandler} for each
 * service makes attempts; {@link org.cypressweir.dataplane.proxy.PeerForwarder} forwards them to the proxy
 * beside the selected instance, whose {@link org.cypressweir.dataplane.proxy.PeerRequestReceiver} dispatches
 * them to it. {@link org.cypressweir.dataplane.proxy.ControllerClient} keeps the configuration and the endpoint
 * list up to date. All of it runs on one event loop.
 */
package org.cypressweir.dataplane.proxy;

package org.cypressweir.controlplane.controller;

import java.util.Map;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.RolloutReport;

/** A message from a proxy to its controller; {@link ControllerMessages#decode} reads it. */
sealed interface ProxyMessage {

    /**
     * A heartbeat: the proxy registers itself or renews its registration.
     *
     * @param registration null if the message holds no valid one
     */
    record Registration(ProxyRegistration registration) implements ProxyMessage {}

    /**
     * The proxy subscribes to endpoint changes from an offset on.
     *
     * @param incarnation of the controller that the offset belongs to
     * @param offset in the controller's log of endpoint changes; below 0 if the proxy has none
     */
    record EndpointSubscription(long incarnation, long offset) implements ProxyMessage {}

    /**
     * The proxy asks how recent the controller's configuration is.
     *
     * @param askedAt by the proxy's clock; echoed in the answer
     */
    record ContactQuery(long askedAt) implements ProxyMessage {}

    /**
     * The proxy asks for the newest configuration.
     *
     * @param version that the proxy has
     */
    record ConfigurationRequest(ProposalNumber version) implements ProxyMessage {}

    /**
     * The demand of tenants at the proxy.
     *
     * @param demandByTenant in requests per second
     * @param complete whether it holds all tenants with any demand
     */
    record DemandReport(Map<?, ?> demandByTenant, boolean complete) implements ProxyMessage {}

    /** The proxy starts or ends its subscription to the demand over all proxies. */
    record DemandSubscription(boolean enabled) implements ProxyMessage {}

    /**
     * The outcomes of a rollout's requests at the proxy.
     *
     * @param incarnation later for each run of the proxy's process
     */
    record RolloutObserved(long incarnation, RolloutReport report) implements ProxyMessage {}

    /** Tokens of tenants' rate limits that the proxy returns because it does not need them. */
    record TokenSurplus(Map<String, Integer> tokensByTenant) implements ProxyMessage {}

    /** The proxy requests tokens of a tenant beyond its own share of the limit. */
    record TokenRequest(String tenant, int count) implements ProxyMessage {}

    /** How many proxies the sender has seen. */
    record ProxyCount(int count) implements ProxyMessage {}

    /** A message of a kind that this version does not know; it is ignored. */
    record Unknown() implements ProxyMessage {}
}

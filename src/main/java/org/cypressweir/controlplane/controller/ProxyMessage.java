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
     * @param registration null where the message holds none that is valid
     */
    record Registration(ProxyRegistration registration) implements ProxyMessage {}

    /**
     * The proxy subscribes to endpoints from an offset on.
     *
     * @param incarnation of the controller whose offset it is
     * @param offset in the controller's log of endpoint changes; below 0 where the proxy has none
     */
    record EndpointSubscription(long incarnation, long offset) implements ProxyMessage {}

    /**
     * The proxy asks how recent the controller's configuration is.
     *
     * @param askedAt by the proxy's clock; sent back as it is
     */
    record ContactQuery(long askedAt) implements ProxyMessage {}

    /**
     * The proxy asks for the newest configuration.
     *
     * @param version the one that it has
     */
    record ConfigurationRequest(ProposalNumber version) implements ProxyMessage {}

    /**
     * The demand of tenants at the proxy.
     *
     * @param demandByTenant in requests per second
     * @param complete whether all tenants with any demand are in it
     */
    record DemandReport(Map<?, ?> demandByTenant, boolean complete) implements ProxyMessage {}

    /** The proxy starts or ends its subscription to the demand over all proxies. */
    record DemandSubscription(boolean enabled) implements ProxyMessage {}

    /**
     * What the proxy has seen of a rollout.
     *
     * @param incarnation later for each run of the proxy's process
     */
    record RolloutObserved(long incarnation, RolloutReport report) implements ProxyMessage {}

    /** Tokens of tenants' rate limits that the proxy does not need. */
    record TokenSurplus(Map<String, Integer> tokensByTenant) implements ProxyMessage {}

    /** The proxy needs tokens of a tenant beyond its own part. */
    record TokenRequest(String tenant, int count) implements ProxyMessage {}

    /** How many proxies the sender has seen. */
    record ProxyCount(int count) implements ProxyMessage {}

    /** A kind that this version does not know; it is ignored. */
    record Unknown() implements ProxyMessage {}
}

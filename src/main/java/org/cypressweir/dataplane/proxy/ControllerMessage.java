package org.cypressweir.dataplane.proxy;

import java.util.List;
import java.util.Set;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ProxyRegistration;

/**
 * A message that a proxy receives from a controller. {@link ControllerMessageCodec} defines the encoding of each.
 * Immutable.
 */
sealed interface ControllerMessage {

    /**
     * The version of the configuration at the controller: sent on connection, and on each change.
     *
     * @param controlAddress the controller's address for operators; null if the message doesn't contain it
     * @param contactAgeMicros how long ago the controller was in contact with a majority; negative if it isn't
     * @param voters the members of the controllers' quorum
     */
    record VersionAnnouncement(String controlAddress, ProposalNumber version, long contactAgeMicros, Set<String> voters)
            implements ControllerMessage {}

    /**
     * Changes of the endpoint list, or the complete list.
     *
     * @param controllerIncarnation the incarnation of the controller whose log of changes the offset belongs to
     * @param offset the position in that log from which to subscribe after a reconnection
     * @param removed names of proxies that are gone
     */
    record EndpointUpdate(
            long controllerIncarnation,
            long offset,
            boolean isComplete,
            List<ProxyRegistration> registrations,
            List<String> removed)
            implements ControllerMessage {}

    /**
     * One chunk of the configuration; its items are in the message's body.
     *
     * @param baseVersion the version that the items change, as text; empty for a complete configuration
     */
    record ConfigurationChunk(ProposalNumber version, String baseVersion, int index, long count)
            implements ControllerMessage {}

    /**
     * How long ago the controller was in contact with a majority.
     *
     * @param queriedAt the time at the proxy of the query that this answers; 0 if it answers none
     * @param version the controller's version when it answered; null if this answers no query
     */
    record ContactConfirmation(long queriedAt, ProposalNumber version, long contactAgeMicros)
            implements ControllerMessage {}

    /** Tokens of a tenant's limit that this proxy requested; 0 if the controller had none. */
    record TokenResponse(String tenant, int count) implements ControllerMessage {}

    /** The number of proxies among which the limits of tenants are divided. */
    record ProxyCount(int count) implements ControllerMessage {}
}

package org.cypressweir.controlplane.controller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.RolloutReport;

/**
 * Encodes a controller's messages to proxies and other controllers, and decodes those of proxies. Stateless.
 *
 * <p>The names of message kinds and fields are fixed by the protocol, since other builds read them. Only this class
 * knows them.
 */
final class ControllerMessages {

    /** The field that holds the kind of a message. */
    static final String KIND = "t";

    /** The first message on a connection. */
    static final String HELLO = "hello";
    /** Prefix of the message kinds that are passed to the consensus replica. */
    static final String CONSENSUS_PREFIX = "copies.";

    private static final String SENDER_ROLE = "kind";
    private static final String CONTROLLER_ROLE = "harbour";
    private static final String NAME = "name";
    private static final String ADDRESS = "address";
    private static final String MEMBER = "member";
    private static final String CONTROL_ADDRESS = "control";
    private static final String INCARNATION = "life";
    private static final String VOTERS = "crew";
    private static final String PROPOSAL_NUMBER = "stamp";
    private static final String AGE = "age";
    private static final String OFFSET = "place";

    private static final String REGISTRATION = "berth";

    private static final String ENDPOINT_SUBSCRIPTION = "follow";
    private static final String ENDPOINT_UPDATE = "roster";
    private static final String SNAPSHOT = "whole";
    private static final String REGISTRATIONS = "berths";
    private static final String REMOVED = "gone";

    private static final String WELCOME = "welcome";
    private static final String CONTACT = "contact";
    private static final String ASKED_AT = "asked";

    private static final String CONFIGURATION_VERSION = "stamp";
    private static final String CONFIGURATION_REQUEST = "want";
    private static final String REQUEST_VERSION = "have";
    private static final String CONFIGURATION_CHUNK = "items";
    private static final String DELTA_FROM = "from";
    private static final String CHUNK_INDEX = "piece";
    private static final String CHUNK_COUNT = "pieces";

    private static final String DEMAND_REPORT = "tally";
    private static final String DEMAND_SUBSCRIPTION = "sums";
    private static final String DEMAND_TOTALS = "tallies";
    private static final String DEMAND = "asked";
    private static final String COMPLETE = "whole";
    private static final String ENABLED = "on";

    private static final String ROLLOUT_REPORT = "rollout.report";
    private static final String REPORT = "report";

    private static final String TOKEN_SURPLUS = "quota.surplus";
    private static final String TOKEN_REQUEST = "quota.request";
    private static final String TOKEN_RESPONSE = "quota.response";
    private static final String PROXY_COUNT = "quota.proxies";
    private static final String TOKENS = "tokens";
    private static final String TENANT = "tenant";
    private static final String COUNT = "count";

    private ControllerMessages() {}

    /**
     * Who opened a connection.
     *
     * @param isController whether it is a controller; otherwise it is a proxy
     * @param name of a proxy; empty for a controller
     * @param member a controller's replica key
     * @param address where a controller accepts connections
     * @param controlAddress where a controller serves operators
     */
    record Hello(boolean isController, String name, String member, String address, String controlAddress) {}

    static Hello decodeHello(Map<String, Object> message) {
        return new Hello(
                JsonCodec.text(message, SENDER_ROLE).equals(CONTROLLER_ROLE),
                JsonCodec.text(message, NAME),
                JsonCodec.text(message, message.containsKey(MEMBER) ? MEMBER : ADDRESS),
                JsonCodec.text(message, ADDRESS),
                JsonCodec.text(message, CONTROL_ADDRESS));
    }

    /** The first message of a controller on a connection to another. */
    static Map<String, Object> hello(String address, String member, String controlAddress) {
        return JsonCodec.map(
                KIND,
                HELLO,
                SENDER_ROLE,
                CONTROLLER_ROLE,
                ADDRESS,
                address,
                MEMBER,
                member,
                CONTROL_ADDRESS,
                controlAddress);
    }

    /**
     * Decodes a proxy's message.
     *
     * @throws IllegalArgumentException where a proposal number is malformed
     */
    static ProxyMessage decode(Map<String, Object> message, long nowMicros) {
        return switch (JsonCodec.text(message, KIND)) {
            case REGISTRATION -> new ProxyMessage.Registration(
                    ProxyRegistration.of(Json.object(message, REGISTRATION), nowMicros));
            case ENDPOINT_SUBSCRIPTION -> new ProxyMessage.EndpointSubscription(
                    Json.longValue(message, INCARNATION, 0), Json.longValue(message, OFFSET, -1));
            case CONTACT -> new ProxyMessage.ContactQuery(Json.longValue(message, ASKED_AT, 0));
            case CONFIGURATION_REQUEST -> new ProxyMessage.ConfigurationRequest(
                    ProposalNumber.of(JsonCodec.text(message, REQUEST_VERSION)));
            case DEMAND_REPORT -> new ProxyMessage.DemandReport(
                    Json.object(message, DEMAND), Json.flag(message, COMPLETE));
            case DEMAND_SUBSCRIPTION -> new ProxyMessage.DemandSubscription(Json.flag(message, ENABLED));
            case ROLLOUT_REPORT -> new ProxyMessage.RolloutObserved(
                    Json.longValue(message, INCARNATION, 0), RolloutReport.of(Json.object(message, REPORT)));
            case TOKEN_SURPLUS -> new ProxyMessage.TokenSurplus(counts(Json.object(message, TOKENS)));
            case TOKEN_REQUEST -> new ProxyMessage.TokenRequest(
                    JsonCodec.text(message, TENANT), (int) Json.longValue(message, COUNT, 0));
            case PROXY_COUNT -> new ProxyMessage.ProxyCount((int) Json.longValue(message, COUNT, 0));
            default -> new ProxyMessage.Unknown();
        };
    }

    private static Map<String, Integer> counts(Map<?, ?> object) {
        Map<String, Integer> counts = new HashMap<>();
        object.forEach((name, count) -> {
            if (count instanceof Number number) {
                counts.put((String) name, number.intValue());
            }
        });
        return counts;
    }

    /** The response to a proxy's request for tokens of a tenant; the count is 0 if there are none. */
    static Map<String, Object> tokenResponse(String tenant, int count) {
        return JsonCodec.map(KIND, TOKEN_RESPONSE, TENANT, tenant, COUNT, count);
    }

    /** The number of proxies by which tenants' limits are divided. */
    static Map<String, Object> proxyCount(int count) {
        return JsonCodec.map(KIND, PROXY_COUNT, COUNT, count);
    }

    /**
     * The answer to a proxy's hello.
     *
     * @param ageMicros how long ago the version was known to be the newest; below 0: never
     */
    static Map<String, Object> welcome(
            long incarnation, List<String> voters, String controlAddress, ProposalNumber version, long ageMicros) {
        return JsonCodec.map(
                KIND,
                WELCOME,
                INCARNATION,
                incarnation,
                VOTERS,
                voters,
                CONTROL_ADDRESS,
                controlAddress,
                PROPOSAL_NUMBER,
                version.toString(),
                AGE,
                ageMicros);
    }

    /** A new version of the configuration was committed. */
    static Map<String, Object> configurationVersion(ProposalNumber version, List<String> voters, long ageMicros) {
        return JsonCodec.map(
                KIND, CONFIGURATION_VERSION, PROPOSAL_NUMBER, version.toString(), VOTERS, voters, AGE, ageMicros);
    }

    /**
     * How long ago this version was known to be the newest.
     *
     * @param askedAt as in the query that is answered; 0 if the message is not an answer
     */
    static Map<String, Object> contact(long askedAt, ProposalNumber version, long ageMicros) {
        return JsonCodec.map(KIND, CONTACT, ASKED_AT, askedAt, PROPOSAL_NUMBER, version.toString(), AGE, ageMicros);
    }

    /**
     * Endpoints that have changed.
     *
     * @param offset in the endpoint change log up to which this brings the proxy
     * @param snapshot whether it holds all endpoints
     * @param registrations as {@link ProxyRegistration#toMap} gives them
     * @param removed names of proxies that are no longer registered
     */
    static Map<String, Object> endpointUpdate(
            long incarnation, long offset, boolean snapshot, List<Object> registrations, List<Object> removed) {
        return JsonCodec.map(
                KIND,
                ENDPOINT_UPDATE,
                INCARNATION,
                incarnation,
                OFFSET,
                offset,
                SNAPSHOT,
                snapshot,
                REGISTRATIONS,
                registrations,
                REMOVED,
                removed);
    }

    /**
     * The header of a message whose body is a chunk of the configuration.
     *
     * @param from the version that the chunks are a delta to; null for a snapshot
     */
    static Map<String, Object> configurationChunk(
            ProposalNumber version, ProposalNumber from, int chunkIndex, int chunkCount) {
        return JsonCodec.map(
                KIND,
                CONFIGURATION_CHUNK,
                PROPOSAL_NUMBER,
                version.toString(),
                DELTA_FROM,
                from == null ? "" : from.toString(),
                CHUNK_INDEX,
                chunkIndex,
                CHUNK_COUNT,
                chunkCount);
    }

    /** The demand of tenants over all proxies, in requests per second. */
    static Map<String, Object> demandTotals(Map<String, Double> demandByTenant) {
        return JsonCodec.map(KIND, DEMAND_TOTALS, DEMAND, demandByTenant);
    }
}

package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.controlplane.registry.RolloutReport;

/**
 * Encodes the messages that a proxy sends to controllers and decodes those that it receives from them.
 *
 * <p>All field names and message kinds here are fixed: processes of different builds exchange them.
 */
final class ControllerMessageCodec {

    private static final String KIND = "t";
    private static final String HELLO = "hello";
    private static final String REGISTRATION = "berth";
    private static final String SUBSCRIPTION = "follow";
    private static final String CONFIGURATION_REQUEST = "want";
    private static final String DEMAND = "tally";
    private static final String CONTACT = "contact";
    private static final String WELCOME = "welcome";
    private static final String VERSION_ANNOUNCEMENT = "stamp";
    private static final String ENDPOINT_UPDATE = "roster";
    private static final String CONFIGURATION_CHUNK = "items";
    private static final String ROLLOUT_REPORT = "rollout.report";
    private static final String REPORT = "report";
    private static final String TOKEN_SURPLUS = "quota.surplus";
    private static final String TOKEN_REQUEST = "quota.request";
    private static final String TOKEN_RESPONSE = "quota.response";
    private static final String PROXY_COUNT = "quota.proxies";

    private static final String SENDER_KIND = "kind";
    private static final String PROXY = "pilot";
    private static final String NAME = "name";
    private static final String INCARNATION = "life";
    private static final String OFFSET = "place";
    private static final String CURRENT_VERSION = "have";
    private static final String DEMAND_BY_TENANT = "asked";
    private static final String QUERIED_AT = "asked";
    private static final String COMPLETE = "whole";
    private static final String TOKENS = "tokens";
    private static final String TENANT = "tenant";
    private static final String COUNT = "count";
    private static final String CONTROL_ADDRESS = "control";
    private static final String VERSION = "stamp";
    private static final String CONTACT_AGE = "age";
    private static final String VOTERS = "crew";
    private static final String REGISTRATIONS = "berths";
    private static final String REMOVED = "gone";
    private static final String BASE_VERSION = "from";
    private static final String CHUNK_INDEX = "piece";
    private static final String CHUNK_COUNT = "pieces";

    private ControllerMessageCodec() {}

    static Map<String, Object> hello(String proxyName) {
        return JsonCodec.map(KIND, HELLO, SENDER_KIND, PROXY, NAME, proxyName);
    }

    static Map<String, Object> registration(ProxyRegistration registration, long nowMicros) {
        return JsonCodec.map(KIND, REGISTRATION, REGISTRATION, registration.toMap(nowMicros));
    }

    /** Requests the changes of the endpoint list after the offset; the complete list for an offset of -1. */
    static Map<String, Object> subscription(long controllerIncarnation, long offset) {
        return JsonCodec.map(KIND, SUBSCRIPTION, INCARNATION, controllerIncarnation, OFFSET, offset);
    }

    /** Requests a newer configuration than this version. */
    static Map<String, Object> configurationRequest(ProposalNumber currentVersion) {
        return JsonCodec.map(KIND, CONFIGURATION_REQUEST, CURRENT_VERSION, currentVersion.toString());
    }

    /** @param isComplete whether the map has all tenants, or only those whose demand has changed */
    static Map<String, Object> demand(Map<String, Double> demandByTenant, boolean isComplete) {
        return JsonCodec.map(KIND, DEMAND, DEMAND_BY_TENANT, demandByTenant, COMPLETE, isComplete);
    }

    /** @param incarnation the incarnation of this process: greater for a later one */
    static Map<String, Object> rolloutReport(long incarnation, RolloutReport report) {
        return JsonCodec.map(KIND, ROLLOUT_REPORT, INCARNATION, incarnation, REPORT, report.toMap());
    }

    /** Returns tokens of tenants' limits that this proxy doesn't need. */
    static Map<String, Object> tokenSurplus(Map<String, Integer> tokensByTenant) {
        return JsonCodec.map(KIND, TOKEN_SURPLUS, TOKENS, tokensByTenant);
    }

    /** Requests tokens of a tenant's limit. */
    static Map<String, Object> tokenRequest(String tenant, int count) {
        return JsonCodec.map(KIND, TOKEN_REQUEST, TENANT, tenant, COUNT, count);
    }

    /** Tells how many proxies this one has counted. */
    static Map<String, Object> proxyCount(int count) {
        return JsonCodec.map(KIND, PROXY_COUNT, COUNT, count);
    }

    static Map<String, Object> contactQuery(long nowMicros) {
        return JsonCodec.map(KIND, CONTACT, QUERIED_AT, nowMicros);
    }

    /**
     * Decodes a message; null for one of an unknown kind.
     *
     * @throws IllegalArgumentException if the version is malformed
     */
    static ControllerMessage decode(Map<String, Object> head, long nowMicros) {
        return switch (JsonCodec.text(head, KIND)) {
            case WELCOME, VERSION_ANNOUNCEMENT -> new ControllerMessage.VersionAnnouncement(
                    head.containsKey(CONTROL_ADDRESS) ? JsonCodec.text(head, CONTROL_ADDRESS) : null,
                    version(head),
                    Json.longValue(head, CONTACT_AGE, -1),
                    Set.copyOf(texts(head, VOTERS)));
            case ENDPOINT_UPDATE -> new ControllerMessage.EndpointUpdate(
                    Json.longValue(head, INCARNATION, 0),
                    Json.longValue(head, OFFSET, -1),
                    Json.flag(head, COMPLETE),
                    registrations(head, nowMicros),
                    texts(head, REMOVED));
            case CONFIGURATION_CHUNK -> new ControllerMessage.ConfigurationChunk(
                    version(head),
                    JsonCodec.text(head, BASE_VERSION),
                    (int) Json.longValue(head, CHUNK_INDEX, 0),
                    Json.longValue(head, CHUNK_COUNT, 1));
            case CONTACT -> contactConfirmation(head);
            case TOKEN_RESPONSE -> new ControllerMessage.TokenResponse(
                    JsonCodec.text(head, TENANT), (int) Json.longValue(head, COUNT, 0));
            case PROXY_COUNT -> new ControllerMessage.ProxyCount((int) Json.longValue(head, COUNT, 0));
            default -> null;
        };
    }

    private static ControllerMessage contactConfirmation(Map<String, Object> head) {
        long queriedAt = Json.longValue(head, QUERIED_AT, 0);
        return new ControllerMessage.ContactConfirmation(
                queriedAt, queriedAt == 0 ? null : version(head), Json.longValue(head, CONTACT_AGE, -1));
    }

    private static ProposalNumber version(Map<String, Object> head) {
        return ProposalNumber.of(JsonCodec.text(head, VERSION));
    }

    private static List<ProxyRegistration> registrations(Map<String, Object> head, long nowMicros) {
        List<ProxyRegistration> registrations = new ArrayList<>();
        for (Object element : Json.array(head, REGISTRATIONS)) {
            if (element instanceof Map<?, ?> map) {
                ProxyRegistration registration = ProxyRegistration.of(map, nowMicros);
                if (registration != null) {
                    registrations.add(registration);
                }
            }
        }
        return registrations;
    }

    private static List<String> texts(Map<String, Object> head, String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : Json.array(head, name)) {
            texts.add(String.valueOf(element));
        }
        return texts;
    }
}

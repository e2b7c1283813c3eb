package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;

/**
 * Encodes and decodes the heads of {@link PeerMessage}s; the body of a request or response is sent separately from its
 * head. Points in time are sent as the time remaining until then, since the clocks of two processes are unrelated.
 *
 * <p>All field names and values here are fixed: proxies of different builds exchange them.
 */
final class PeerMessageCodec {

    static final String KIND = "t";
    static final String HELLO = "hello";
    private static final String REQUEST = "go";
    private static final String CANCELLATION = "stop";
    private static final String RESPONSE = "end";
    private static final String REGISTRATION = "berth";

    private static final String SENDER_KIND = "kind";
    private static final String PROXY = "pilot";
    private static final String NAME = "name";
    private static final String INCARNATION = "life";
    private static final String FIRST_NUMBER = "from";
    private static final String NUMBER = "n";

    private static final String REQUEST_ID = "id";
    private static final String METHOD = "m";
    private static final String URI = "u";
    private static final String HEADERS = "h";
    private static final String IDEMPOTENT = "rep";
    private static final String PRIORITY = "rank";
    private static final String INTERNAL = "inner";
    private static final String LATENCY_TARGET_REMAINING = "aim";
    private static final String TIME_REMAINING = "left";
    private static final String INSTANCE_ID = "to";

    private static final String OUTCOME = "o";
    private static final String ANSWERED = "answered";
    private static final String NOT_RUN = "notrun";
    private static final String MAY_HAVE_RUN = "may";
    private static final String STATUS = "s";
    private static final String REASON = "why";
    private static final String RETRY_AFTER = "after";
    private static final String LOAD = "load";

    private static final int LOWEST_PRIORITY = 9;
    private static final int BAD_GATEWAY = 502;

    private PeerMessageCodec() {}

    static Map<String, Object> encode(PeerMessage.Hello hello) {
        return JsonCodec.map(
                KIND, HELLO,
                SENDER_KIND, PROXY,
                NAME, hello.senderName(),
                INCARNATION, hello.incarnation(),
                FIRST_NUMBER, hello.firstNumber());
    }

    static Map<String, Object> encode(PeerMessage.Cancellation cancellation) {
        return JsonCodec.map(KIND, CANCELLATION, NUMBER, cancellation.number());
    }

    static Map<String, Object> encode(PeerMessage.RegistrationUpdate update, long nowMicros) {
        return JsonCodec.map(
                KIND, REGISTRATION, REGISTRATION, update.registration().toMap(nowMicros));
    }

    /** Encodes the head of a forwarded request; takes its parts, so that no message object is created per request. */
    static Map<String, Object> encodeRequest(
            long number, long receiverIncarnation, UpstreamRequest request, long nowMicros) {
        return JsonCodec.map(
                KIND, REQUEST,
                NUMBER, number,
                INCARNATION, receiverIncarnation,
                REQUEST_ID, request.id(),
                METHOD, request.method(),
                URI, request.uri(),
                HEADERS, flatten(request.headers()),
                IDEMPOTENT, request.idempotent(),
                PRIORITY, request.priority(),
                INTERNAL, request.internal(),
                LATENCY_TARGET_REMAINING, request.latencyTargetAtMicros() - nowMicros,
                TIME_REMAINING, request.deadlineMicros() - nowMicros,
                INSTANCE_ID, request.instanceId());
    }

    /** Encodes the head of the response to a request that was submitted to the dispatcher. */
    static Map<String, Object> encodeResponse(long number, RequestOutcome outcome, UpstreamLoad load) {
        List<Integer> loadFields = List.of(load.running(), load.waiting(), load.concurrency());
        if (outcome instanceof RequestOutcome.Responded responded) {
            return JsonCodec.map(
                    KIND, RESPONSE,
                    NUMBER, number,
                    OUTCOME, ANSWERED,
                    STATUS, responded.status(),
                    HEADERS, flatten(Headers.endToEnd(responded.headers())),
                    LOAD, loadFields);
        }
        if (outcome instanceof RequestOutcome.NotRun notRun) {
            return JsonCodec.map(
                    KIND, RESPONSE,
                    NUMBER, number,
                    OUTCOME, NOT_RUN,
                    REASON, notRun.reason().name(),
                    RETRY_AFTER, notRun.retryAfterMicros(),
                    LOAD, loadFields);
        }
        RequestOutcome.MayHaveRun mayHaveRun = (RequestOutcome.MayHaveRun) outcome;
        return JsonCodec.map(
                KIND, RESPONSE, NUMBER, number, OUTCOME, MAY_HAVE_RUN, REASON, mayHaveRun.why(), LOAD, loadFields);
    }

    /** Encodes the response to a request for another incarnation than the receiver's own, which never runs here. */
    static Map<String, Object> encodeWrongIncarnation(long number, long ownIncarnation) {
        return JsonCodec.map(
                KIND, RESPONSE,
                NUMBER, number,
                INCARNATION, ownIncarnation,
                OUTCOME, NOT_RUN,
                REASON, RejectionReason.GONE.name());
    }

    /** Decodes any message between proxies; null for an unknown kind or a registration without a name. */
    static PeerMessage decode(Map<String, Object> head, byte[] body, long nowMicros) {
        return switch (JsonCodec.text(head, KIND)) {
            case HELLO -> new PeerMessage.Hello(
                    JsonCodec.text(head, NAME),
                    Json.longValue(head, INCARNATION, 0),
                    Json.longValue(head, FIRST_NUMBER, 0));
            case REQUEST -> decodeRequest(head, body, nowMicros);
            case CANCELLATION -> new PeerMessage.Cancellation(Json.longValue(head, NUMBER, -1));
            case RESPONSE -> decodeResponse(head, body);
            case REGISTRATION -> decodeRegistration(head, nowMicros);
            default -> null;
        };
    }

    private static PeerMessage decodeRegistration(Map<String, Object> head, long nowMicros) {
        ProxyRegistration registration = ProxyRegistration.of(Json.object(head, REGISTRATION), nowMicros);
        return registration == null ? null : new PeerMessage.RegistrationUpdate(registration);
    }

    private static PeerMessage decodeRequest(Map<String, Object> head, byte[] body, long nowMicros) {
        UpstreamRequest request = new UpstreamRequest(
                JsonCodec.text(head, REQUEST_ID),
                JsonCodec.text(head, METHOD),
                JsonCodec.text(head, URI),
                headers(head),
                body,
                Json.flag(head, IDEMPOTENT),
                (int) Json.longValue(head, PRIORITY, LOWEST_PRIORITY),
                Json.flag(head, INTERNAL),
                nowMicros + Json.longValue(head, LATENCY_TARGET_REMAINING, 0),
                nowMicros + Json.longValue(head, TIME_REMAINING, 0),
                JsonCodec.text(head, INSTANCE_ID));
        return new PeerMessage.ForwardedRequest(
                Json.longValue(head, NUMBER, -1), Json.longValue(head, INCARNATION, -1), request);
    }

    private static PeerMessage decodeResponse(Map<String, Object> head, byte[] body) {
        long incarnation = head.containsKey(INCARNATION)
                ? Json.longValue(head, INCARNATION, -1)
                : PeerMessage.ForwardedResponse.UNSPECIFIED_INCARNATION;
        AttemptResult result = new AttemptResult(decodeOutcome(head, body), decodeLoad(head));
        return new PeerMessage.ForwardedResponse(Json.longValue(head, NUMBER, -1), incarnation, result);
    }

    private static RequestOutcome decodeOutcome(Map<String, Object> head, byte[] body) {
        return switch (JsonCodec.text(head, OUTCOME)) {
            case ANSWERED -> new RequestOutcome.Responded(
                    (int) Json.longValue(head, STATUS, BAD_GATEWAY), headers(head), body);
            case NOT_RUN -> new RequestOutcome.NotRun(
                    rejectionReason(JsonCodec.text(head, REASON)), Json.longValue(head, RETRY_AFTER, 0));
            default -> new RequestOutcome.MayHaveRun(JsonCodec.text(head, REASON));
        };
    }

    private static UpstreamLoad decodeLoad(Map<String, Object> head) {
        List<?> fields = Json.array(head, LOAD);
        return fields.size() == 3
                ? new UpstreamLoad(intValue(fields.get(0)), intValue(fields.get(1)), intValue(fields.get(2)))
                : null;
    }

    private static int intValue(Object number) {
        return number instanceof Number n ? n.intValue() : 0;
    }

    /** Decodes a rejection reason; one that this build doesn't know counts as a rejection by the instance. */
    private static RejectionReason rejectionReason(String name) {
        for (RejectionReason reason : RejectionReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return RejectionReason.REFUSED;
    }

    /** Lists names and values alternately. */
    private static List<String> flatten(List<Map.Entry<String, String>> headers) {
        List<String> flat = new ArrayList<>(2 * headers.size());
        for (Map.Entry<String, String> header : headers) {
            flat.add(header.getKey());
            flat.add(header.getValue());
        }
        return flat;
    }

    private static List<Map.Entry<String, String>> headers(Map<String, Object> head) {
        List<?> flat = Json.array(head, HEADERS);
        List<Map.Entry<String, String>> headers = new ArrayList<>(flat.size() / 2);
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            headers.add(Map.entry(String.valueOf(flat.get(i)), String.valueOf(flat.get(i + 1))));
        }
        return headers;
    }
}

package org.cypressweir.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Stream;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.membership.MembershipChange;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.sidecar.admin.SidecarLifecycle;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.operatorconfig.LimitKey;
import org.cypressweir.sidecar.operatorconfig.Retryable;
import org.cypressweir.sidecar.websocket.UpgradeAccount;
import org.junit.jupiter.api.Test;

/**
 * The texts of enum constants that leave the process, and the order of those that are sent by their ordinal number.
 * The text stays the same when a constant is renamed.
 */
class EnumTextsTest {

    private static <E> List<String> texts(E[] constants, Function<E, String> text) {
        return Stream.of(constants).map(text).toList();
    }

    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** In the field "error" of responses (lower case), in counts of the state (unchanged), and in words for people. */
    @Test
    void kindsOfErrors() {
        assertThat(texts(
                        ErrorKind.values(),
                        fault -> fault.name() + ", " + fault.description() + ", " + fault.status() + ", "
                                + fault.hasRetryAfter()))
                .containsExactly(
                        "NO_ROUTE, no route, 404, false",
                        "NO_KEY, no key, 401, false",
                        "OVER_QUOTA, over quota, 429, true",
                        "NO_ROOM, no room, 503, true",
                        "NOT_READY, not ready, 503, true",
                        "BROKEN, broken, 502, false",
                        "TIMED_OUT, timed out, 504, false",
                        "MALFORMED, malformed, 400, false",
                        "INVALID, invalid, 400, false",
                        "CONFLICT, conflict, 409, false",
                        "UNAVAILABLE, unavailable, 503, true",
                        "NO_CALL, no call, 404, false",
                        "NO_METHOD, no method, 405, false");
    }

    /** In the field "why" of messages between proxies (unchanged), and in traces (in lower case, with spaces). */
    @Test
    void reasonsWhyARequestHasNotRun() {
        assertThat(texts(RejectionReason.values(), RejectionReason::name))
                .containsExactly("FULL", "LATE", "GONE", "MISDIRECTED", "NO_CONNECTION", "CANCELLED", "REFUSED");
    }

    /** On the wire, and in keys on disk. */
    @Test
    void tables() {
        assertThat(texts(ItemType.values(), ItemType::wireName))
                .containsExactly("routeTable", "tenantTable", "serviceTable", "limits", "rolloutTable");
    }

    @Test
    void calls() {
        List<String> calls = new ArrayList<>();
        for (ApiCall call : ApiCall.values()) {
            calls.add(call.method() + " " + call.path());
        }
        assertThat(calls)
                .containsExactly(
                        "GET /cypressweir/readiness",
                        "POST /cypressweir/instances/",
                        "POST /cypressweir/instances/",
                        "POST /cypressweir/config/modify",
                        "GET /cypressweir/config/read",
                        "POST /cypressweir/rollouts/begin",
                        "GET /cypressweir/rollouts/",
                        "POST /cypressweir/copies/begin",
                        "GET /cypressweir/state",
                        "GET /cypressweir/why/");
        assertThat(ApiCall.HEARTBEAT.pathParameter("/cypressweir/instances/a/heartbeat"))
                .contains("a");
        assertThat(ApiCall.DEREGISTER.pathParameter("/cypressweir/instances/a/deregister"))
                .contains("a");
    }

    /** Sent by their ordinal number in datagrams. */
    @Test
    void orderOfWhatIsSentByNumber() {
        assertThat(texts(MembershipMessage.Kind.values(), Enum::name))
                .containsExactly(
                        "PING", "ACK", "NEWS", "COMPARE", "REFUSE", "COUNT", "COUNTED", "BORROW", "LEND", "LEASE");
        assertThat(texts(org.cypressweir.fleet.membership.MemberStatus.values(), Enum::name))
                .containsExactly("CANDIDATE", "MEMBER", "OUT", "LEFT");
        assertThat(texts(LeaseMessage.Kind.values(), Enum::name))
                .containsExactly("ASK", "YES", "NO", "FREE", "HINT", "LEARN", "LEARNED");
    }

    /** In the log and in the recorded history of a member, in lower case. */
    @Test
    void changesOfMembership() {
        assertThat(texts(MembershipChange.Kind.values(), EnumTextsTest::lower))
                .containsExactly("joined", "back", "out", "left");
    }

    /** Published by a member about itself, in lower case. */
    @Test
    void statesOfTheSidecar() {
        assertThat(texts(SidecarLifecycle.State.values(), EnumTextsTest::lower))
                .containsExactly("starting", "starting_drained", "serving", "draining", "drained", "stopping");
    }

    /** In the operators' file and in the output that explains it. */
    @Test
    void wordsOfTheOperatorsFile() {
        assertThat(texts(CellsConfiguration.Unit.values(), EnumTextsTest::lower))
                .containsExactly("tenant", "key", "header");
        assertThat(texts(CellsConfiguration.Spread.values(), EnumTextsTest::lower))
                .containsExactly("server", "group");
        assertThat(texts(LoadBalancer.Effect.values(), EnumTextsTest::lower))
                .containsExactly("safe", "keyed", "unsafe");
        assertThat(texts(Retryable.values(), Retryable::toString))
                .containsExactly("turned-away", "no-connection", "error", "reset", "timeout");
        assertThat(texts(LimitKey.values(), LimitKey::key))
                .containsExactly(
                        "timeout",
                        "attempt_timeout",
                        "attempts",
                        "retry_on",
                        "hedges",
                        "hedge_after",
                        "max_requests",
                        "max_queue",
                        "max_connections");
    }

    /** In the log of ejected servers. */
    @Test
    void resultsOfAttempts() {
        assertThat(texts(LoadBalancer.Result.values(), LoadBalancer.Result::toString))
                .containsExactly(
                        "SERVED", "ERROR", "FULL", "TIMED_OUT", "NO_CONNECTION", "BROKEN", "CANCELLED", "NOT_SENT");
    }

    /** In the account of upgrades; the constants from OPEN on count as opened. */
    @Test
    void statesOfUpgrades() {
        assertThat(texts(UpgradeAccount.State.values(), Enum::toString))
                .containsExactly(
                        "ASKED",
                        "TRIED",
                        "REFUSED",
                        "FAILED",
                        "GONE",
                        "OPEN",
                        "CLOSING_BY_CLIENT",
                        "CLOSING_BY_SERVER",
                        "CLOSING_BY_SIDECAR",
                        "CLOSED_BY_CLIENT",
                        "CLOSED_BY_SERVER",
                        "CLOSED_BY_SIDECAR",
                        "BROKEN");
    }
}
